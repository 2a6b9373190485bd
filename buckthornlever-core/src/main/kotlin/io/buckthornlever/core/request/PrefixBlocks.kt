package io.buckthornlever.core.request

/** Splits a prompt into blocks and hashes each together with all blocks before it. */
public object PrefixBlocks {
    /** Length of a block; about 64 tokens of English text at four bytes each. */
    public const val BLOCK_BYTES: Int = 256

    /** Blocks that are hashed; later text hardly ever is a shared prefix and would cost time on each request. */
    public const val MAX_BLOCKS: Int = 256

    private const val ROOT = 0x51ed270b3a4cL

    /** The chain of hashes of [prompt], at most [MAX_BLOCKS]; the incomplete last block is left out. */
    public fun chain(prompt: ByteArray): LongArray {
        val chain = LongArray(minOf(prompt.size / BLOCK_BYTES, MAX_BLOCKS))
        var parent = ROOT
        for (block in chain.indices) {
            parent = Hashing.combine(parent, Hashing.hash(prompt, block * BLOCK_BYTES, BLOCK_BYTES))
            chain[block] = parent
        }
        return chain
    }
}
