package io.buckthornlever.core.process

import java.nio.ByteBuffer
import java.security.MessageDigest

/** Orders candidates for a key by rendezvous hashing; the order is the same on every instance with the same candidates. */
public object RendezvousOrder {
    /** Returns all [candidates], highest weight first; removing a candidate leaves the order of the others unchanged. */
    public fun <T : Comparable<T>> of(
        key: String,
        candidates: Collection<T>,
    ): List<T> = candidates.distinct().sortedWith(compareByDescending<T> { weight(key, it) }.thenBy { it })

    /** Returns the candidate with the highest weight, or null when there is none. */
    public fun <T : Comparable<T>> first(
        key: String,
        candidates: Collection<T>,
    ): T? = of(key, candidates).firstOrNull()

    private fun weight(
        key: String,
        candidate: Any,
    ): Long {
        val text = "${key.length}:$key:$candidate"
        val digest = MessageDigest.getInstance("SHA-256").digest(text.toByteArray())
        return ByteBuffer.wrap(digest).getLong()
    }
}
