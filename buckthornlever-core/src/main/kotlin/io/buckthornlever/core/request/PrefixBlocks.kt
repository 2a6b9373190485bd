package io.buckthornlever.core.request

/** Splits a prompt into blocks and hashes each block together with all blocks before it. */
public object PrefixBlocks {
    /** Block length in bytes; about 64 tokens of English text at four bytes each. */
    public const val BLOCK_BYTES: Int = 256

    /** Maximum number of blocks hashed. Later text is rarely part of a shared prefix, and hashing it would slow down each request. */
    public const val MAX_BLOCKS: Int = 256

    private const val ROOT = 0x51ed270b3a4cL

    /** The hash chain of [prompt], at most [MAX_BLOCKS] long; an incomplete last block is ignored. */
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
