package io.buckthornlever.daemon.request

import io.buckthornlever.api.connection.Header

/**
 * Response to a non-repeatable call.
 *
 * @property headers all headers of the service; empty when [replayed], because a record stores only the content type
 * @property replayed true when the response comes from the record of an earlier submission
 */
internal class AtMostOnceResponse(
    val status: Int,
    val contentType: String?,
    val headers: List<Header>,
    val body: ByteArray,
    val replayed: Boolean,
)
