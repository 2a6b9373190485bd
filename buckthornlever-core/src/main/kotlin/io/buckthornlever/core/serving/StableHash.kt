package io.buckthornlever.core.serving

import io.buckthornlever.core.request.Hashing

/** Hashes on which all instances agree. */
public object StableHash {
    /** Hash of [text]. */
    public fun of(text: String): Long = Hashing.hash(text)

    /** Hash of [bytes]. */
    public fun of(bytes: ByteArray): Long = Hashing.hash(bytes, 0, bytes.size)

    /** Maps a hash to the interval from 0 (included) to 1 (excluded). */
    public fun unit(hash: Long): Double = Hashing.toUnitInterval(hash)

    /** Hash of a pair; not symmetric. */
    public fun combine(
        first: Long,
        second: Long,
    ): Long = Hashing.combine(first, second)
}
