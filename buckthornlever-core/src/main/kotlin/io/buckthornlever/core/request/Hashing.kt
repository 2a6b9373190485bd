package io.buckthornlever.core.request

import org.apache.commons.codec.digest.MurmurHash3

/** Hashing that is the same on every instance and in every release, so that instances agree without communication. */
internal object Hashing {
    /** Finaliser of MurmurHash3 for 64 bits; the library's own works on arrays only and would allocate per candidate. */
    fun mix(value: Long): Long {
        var h = value
        h = (h xor (h ushr 33)) * -0xae502812aa7333L
        h = (h xor (h ushr 33)) * -0x3b314601e57a13adL
        return h xor (h ushr 33)
    }

    /** Hash of a pair; not symmetric. */
    fun combine(
        first: Long,
        second: Long,
    ): Long = mix(mix(first) + 31 * second)

    /** Hash of [text]. */
    fun hash(text: String): Long {
        val bytes = text.encodeToByteArray()
        return hash(bytes, 0, bytes.size)
    }

    /** Hash of [length] bytes from [offset]. */
    fun hash(
        bytes: ByteArray,
        offset: Int,
        length: Int,
    ): Long = MurmurHash3.hash128x64(bytes, offset, length, 0)[0]

    /** Maps a hash to the interval from 0 (included) to 1 (excluded). */
    fun toUnitInterval(hash: Long): Double = (hash ushr 11) * (1.0 / (1L shl 53))
}
