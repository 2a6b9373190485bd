package io.buckthornlever.standin.process

import java.util.concurrent.ConcurrentHashMap

/**
 * Prefix blocks that any of a site's engines has computed. Engines that share one report a block as recomputed
 * when another of them had computed it before.
 */
public class ComputedBlocks {
    private val hashes: MutableSet<String> = ConcurrentHashMap.newKeySet()

    /** Adds [hash]; false when it was computed before. */
    internal fun add(hash: String): Boolean = hashes.add(hash)
}
