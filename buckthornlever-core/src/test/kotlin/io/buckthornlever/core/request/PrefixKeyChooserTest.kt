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
    fun `a prefix whose continuations are all new stays whole`() {
        val chooser = PrefixKeyChooser()
        val keys = (1..1_000).map { n ->
            val prefix = LongArray(8) { if (it < 4) it.toLong() else Mixing.mix(n * 31L + it) }
            chooser.choose(prefix, 6).also { chooser.record(prefix) }
        }
        assertEquals(setOf(3L), keys.toSet())
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
            it < 12 -> Mixing.combine(recipe.toLong(), it.toLong())
            else -> Mixing.combine(question.toLong(), 100L + it)
        }
    }
}
