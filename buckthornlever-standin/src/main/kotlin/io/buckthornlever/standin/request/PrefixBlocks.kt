package io.buckthornlever.standin.request

import java.security.MessageDigest
import java.util.HexFormat

/** Chain of block hashes over a token sequence, as cache events name them. */
public object PrefixBlocks {
    /** Tokens per block of every engine stand-in. */
    public const val BLOCK_TOKENS: Int = 16

    private const val HASH_BYTES = 8

    /**
     * Hashes of all full blocks of [tokens]: the first 8 bytes of SHA-256 over the hash of the block before
     * (empty for the first), a line feed and the block's tokens joined by spaces, as lower-case hexadecimal.
     */
    public fun hashes(tokens: List<String>): List<String> {
        val digest = MessageDigest.getInstance("SHA-256")
        var parent = ""
        return (0 until tokens.size / BLOCK_TOKENS).map { block ->
            val from = block * BLOCK_TOKENS
            val text = parent + "\n" + tokens.subList(from, from + BLOCK_TOKENS).joinToString(" ")
            parent = HexFormat.of().formatHex(digest.digest(text.toByteArray()), 0, HASH_BYTES)
            parent
        }
    }
}
