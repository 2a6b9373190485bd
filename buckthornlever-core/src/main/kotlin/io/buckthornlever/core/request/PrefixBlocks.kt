package io.buckthornlever.core.request

/** Splits a prompt into blocks and hashes each together with all blocks before it. */
public object PrefixBlocks {
    /** Length of a block; about 64 tokens of English text at four bytes each. */
    public const val BLOCK_BYTES: Int = 256

    /** Blocks that are hashed; later text hardly ever is a shared prefix and would cost time on each request. */
    public const val MAX_BLOCKS: Int = 256

    private const val PRIME = 0x100000001b3L
    private const val SEED = 0x51ed270b3a4cL

    /** The chain of hashes of [prompt], at most [MAX_BLOCKS]; the incomplete last block is left out. */
    public fun chain(prompt: ByteArray): LongArray {
        val count = minOf(prompt.size / BLOCK_BYTES, MAX_BLOCKS)
        val chain = LongArray(count)
        var parent = SEED
        for (block in 0 until count) {
            parent = Mixing.combine(parent, blockHash(prompt, block * BLOCK_BYTES))
            chain[block] = parent
        }
        return chain
    }

    private fun blockHash(
        bytes: ByteArray,
        from: Int,
    ): Long {
        var h = SEED
        for (i in from until from + BLOCK_BYTES) h = (h xor bytes[i].toLong()) * PRIME
        return h
    }
}
