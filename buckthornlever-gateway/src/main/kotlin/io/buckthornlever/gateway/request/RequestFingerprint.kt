package io.buckthornlever.gateway.request

import io.buckthornlever.api.serving.ServedAccount
import io.buckthornlever.core.serving.StableHash

/** Identifies requests that a caller repeats. */
internal object RequestFingerprint {
    /** Hash of the client account, URI and body of a request; the same for each retry by its caller. */
    fun of(
        account: ServedAccount?,
        uri: String,
        body: ByteArray,
    ): Long = StableHash.combine(StableHash.of(uri + '\n' + account?.id?.value), StableHash.of(body))
}
