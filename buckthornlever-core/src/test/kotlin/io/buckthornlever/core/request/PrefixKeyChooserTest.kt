package io.buckthornlever.core.request

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class PrefixKeyChooserTest {
    /** Guards against a system prompt common to all requests that sends all of them to the same upstream. */
    @Test
    fun `a prefix that carries most of the traffic is divided by its known continuations`() {
        val chooser = PrefixKeyChooser()
        val keys = (1..2_000).map { n ->
            val prefix = prompt(recipe = n % 40, question = n)
            chooser.choose(prefix, 6).also { chooser.record(prefix) }
        }
        assertEquals(prompt(0, 0)[3], keys.first())
        assertEquals(40, keys.takeLast(400).distinct().size)
    }

    @Test
    fun `prefixes that are a small part of the traffic stay whole`() {
        val chooser = PrefixKeyChooser()
        repeat(2_000) { n ->
            val prefix = LongArray(16) { if (it < 8) Hashing.combine(n % 10L, it.toLong()) else Hashing.mix(n * 31L + it) }
            assertEquals(prefix[3], chooser.choose(prefix, 6))
            chooser.record(prefix)
        }
    }

    /** Guards against instances that disagree about a context because only some of them have seen it before. */
    @Test
    fun `a context that is new to this instance is divided like a known one`() {
        val chooser = PrefixKeyChooser()
        repeat(200) { n -> chooser.record(prompt(recipe = n % 40, question = n)) }
        assertEquals(prompt(77, 0)[7], chooser.choose(prompt(recipe = 77, question = 1), 6))
    }

    @Test
    fun `a short prompt uses its last block`() {
        assertTrue(PrefixKeyChooser().choose(longArrayOf(5, 6), 6) == 6L)
    }

    private fun prompt(
        recipe: Int,
        question: Int,
    ) = LongArray(16) {
        when {
            it < 4 -> 1_000L + it
            it < 12 -> Hashing.combine(recipe.toLong(), it.toLong())
            else -> Hashing.combine(question.toLong(), 100L + it)
        }
    }
}
