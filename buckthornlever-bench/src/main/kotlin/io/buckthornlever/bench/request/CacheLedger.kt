package io.buckthornlever.bench.request

/** Knows which blocks any engine holds, and counts prompt tokens that were computed although some engine held them. */
internal class CacheLedger {
    private val holders = HashMap<Long, Int>()

    var recomputedTokens: Long = 0
        private set
    var computedTokens: Long = 0
        private set
    var promptTokens: Long = 0
        private set

    fun isHeld(block: Long): Boolean = block in holders

    fun computed(
        tokens: Int,
        recomputed: Int,
        prompt: Int,
    ) {
        computedTokens += tokens
        recomputedTokens += recomputed
        promptTokens += prompt
    }

    fun stored(blocks: List<Long>) {
        blocks.forEach { holders.merge(it, 1, Int::plus) }
    }

    fun dropped(blocks: Collection<Long>) {
        blocks.forEach { holders.computeIfPresent(it) { _, count -> if (count == 1) null else count - 1 } }
    }

    /** Starts counting anew, for example after a warm-up; what engines hold stays known. */
    fun resetCounts() {
        recomputedTokens = 0
        computedTokens = 0
        promptTokens = 0
    }
}
