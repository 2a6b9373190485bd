package io.buckthornlever.core.process

import java.security.MessageDigest

/** SHA-256 of the content of a request without identifiers and credentials, so that retries and resubmissions have the same one. */
@JvmInline
public value class Fingerprint(
    public val value: String,
) : Comparable<Fingerprint> {
    override fun compareTo(other: Fingerprint): Int = value.compareTo(other.value)

    override fun toString(): String = value

    public companion object {
        /** Computes the fingerprint of a request with [method], [path] and [body]. */
        public fun of(
            method: String,
            path: String,
            body: ByteArray,
        ): Fingerprint {
            val digest = MessageDigest.getInstance("SHA-256")
            digest.update("$method $path\n".toByteArray())
            digest.update(body)
            return Fingerprint(digest.digest().joinToString("") { "%02x".format(it) })
        }
    }
}
