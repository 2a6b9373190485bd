package io.buckthornlever.core.process

import net.jqwik.api.Arbitraries
import net.jqwik.api.Arbitrary
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide
import kotlin.test.assertEquals

class InFlightHistoryTest {
    /** Guards against stale slots after pauses, which would make the load estimate count this instance's requests twice. */
    @Property(seed = "21", tries = 300)
    fun `agrees with a list of all changes`(
        @ForAll("steps") steps: List<Int>,
    ) {
        val history = InFlightHistory()
        val ends = mutableMapOf(0L to 0)
        var slot = 0L
        var current = 0
        for (step in steps) {
            val delta = if (step < 0) -1 else 1
            if (step >= 0) slot += step
            history.change(delta, slot * InFlightHistory.SLOT_NANOS + 1)
            current = maxOf(0, current + delta)
            ends[slot] = current
            for (back in 0L..31L) {
                val wanted = slot - back
                if (wanted < 0) break
                val expected = ends.filterKeys { it <= wanted }.maxBy { it.key }.value
                assertEquals(expected, history.at(wanted * InFlightHistory.SLOT_NANOS), "slot $wanted of $slot")
            }
        }
    }

    @Provide
    fun steps(): Arbitrary<List<Int>> = Arbitraries.integers().between(-1, 20).list().ofMaxSize(60)
}
