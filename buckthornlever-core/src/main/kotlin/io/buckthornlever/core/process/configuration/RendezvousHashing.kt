package io.buckthornlever.core.process.configuration

import java.nio.ByteBuffer
import java.security.MessageDigest

/** Rendezvous hashing: all instances with the same candidates choose the same ones, and a change of one candidate changes few choices. */
public object RendezvousHashing {
    /** The [count] candidates with the highest score for [key]. */
    public fun <T> choose(key: String, candidates: Collection<T>, count: Int, nameOf: (T) -> String): List<T> =
        candidates.sortedByDescending { score(key, nameOf(it)) }.take(count)

    private fun score(key: String, name: String): Long {
        val hash = MessageDigest.getInstance("SHA-256").digest("$key|$name".toByteArray())
        return ByteBuffer.wrap(hash).long
    }
}
