package io.buckthornlever.core.request

import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.IntRange
import kotlin.test.assertEquals
import kotlin.test.assertNotEquals

class PrefixBlocksTest {
    /** Guards against chains that differ before, or agree after, the first byte in which two prompts differ. */
    @Property(seed = "12", tries = 200)
    fun `chains agree exactly up to the first different byte`(
        @ForAll @IntRange(min = 0, max = 4_000) length: Int,
        @ForAll @IntRange(min = 0, max = 3_999) changed: Int,
    ) {
        val first = ByteArray(length) { (it * 31).toByte() }
        val second = first.copyOf()
        if (changed < length) second[changed]++
        val a = PrefixBlocks.chain(first)
        val b = PrefixBlocks.chain(second)
        assertEquals(length / PrefixBlocks.BLOCK_BYTES, a.size)
        a.indices.forEach { block ->
            val same = changed >= length || changed >= (block + 1) * PrefixBlocks.BLOCK_BYTES
            if (same) assertEquals(a[block], b[block]) else assertNotEquals(a[block], b[block])
        }
    }
}
