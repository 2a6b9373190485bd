package io.buckthornlever.core.serving

import io.buckthornlever.core.request.Mixing

/** Hash functions with the same result on all instances. */
public object StableHash {
    /** Hash of [text]. */
    public fun of(text: String): Long = Mixing.hash(text)

    /** Hash of [bytes]. */
    public fun of(bytes: ByteArray): Long = Mixing.hash(bytes, 0, bytes.size)

    /** Maps a hash to the interval from 0 (included) to 1 (excluded). */
    public fun unit(hash: Long): Double = Mixing.unit(hash)

    /** Hash of a pair; not symmetric. */
    public fun combine(
        first: Long,
        second: Long,
    ): Long = Mixing.combine(first, second)
}
