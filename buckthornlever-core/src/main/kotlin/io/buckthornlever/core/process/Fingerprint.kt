package io.buckthornlever.core.process

import java.security.MessageDigest

/** SHA-256 of the content of a request, without identifiers and credentials; the same for a retry and a resubmission. */
@JvmInline
public value class Fingerprint(
    public val value: String,
) : Comparable<Fingerprint> {
    override fun compareTo(other: Fingerprint): Int = value.compareTo(other.value)

    override fun toString(): String = value

    public companion object {
        /** Fingerprint of a call of [method] on [path] with [body]. */
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
