package io.buckthornlever.daemon.request

import io.buckthornlever.api.connection.Header

/**
 * Answer to a non-repeatable call.
 *
 * @property headers all headers of the service; empty when [replayed], because a record keeps the content type only
 * @property replayed true when the answer comes from the record of an earlier submission
 */
internal class AtMostOnceResponse(
    val status: Int,
    val contentType: String?,
    val headers: List<Header>,
    val body: ByteArray,
    val replayed: Boolean,
)
