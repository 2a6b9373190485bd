package io.buckthornlever.core.request

/** Hashing that is the same on every instance and in every release, so that instances agree without communication. */
internal object Mixing {
    private const val FNV_OFFSET = -0x340d631b7bdddcdbL
    private const val FNV_PRIME = 0x100000001b3L

    /** Finaliser of MurmurHash3 for 64 bits: every input bit affects every output bit. */
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

    /** FNV-1a over the UTF-16 units of [text], then mixed. */
    fun hash(text: String): Long {
        var h = FNV_OFFSET
        for (c in text) h = (h xor c.code.toLong()) * FNV_PRIME
        return mix(h)
    }

    /** Maps a hash to the interval from 0 (included) to 1 (excluded). */
    fun unit(hash: Long): Double = (hash ushr 11) * (1.0 / (1L shl 53))
}
