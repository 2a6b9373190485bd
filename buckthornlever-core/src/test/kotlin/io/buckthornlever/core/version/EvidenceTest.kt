package io.buckthornlever.core.version

import io.buckthornlever.api.process.InstanceId
import io.buckthornlever.api.process.RouteName
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.LongRange
import java.util.SplittableRandom
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue

internal class EvidenceTest {
    private val now = MoveFixture.START.plusSeconds(30)

    @Property(tries = 100, seed = "11")
    fun `lost, repeated and reordered deltas give the sums of all outcomes once a full delta arrives`(
        @ForAll @LongRange(min = 0, max = 1_000_000) seed: Long,
    ) {
        val random = SplittableRandom(seed)
        val writers = List(3) { Evidence(InstanceId("w$it"), MoveFixture.ID) }
        val reader = Evidence(InstanceId("reader"), MoveFixture.ID)
        val counted = HashMap<Pair<RouteName, Boolean>, Int>()
        val sent = mutableListOf<EvidenceDelta>()
        repeat(200) {
            val writer = writers[random.nextInt(3)]
            val outcome = MoveFixture.outcome(
                random.nextBoolean(),
                random.nextInt(4) == 0,
                random.nextLong(1, 500),
                "r${random.nextInt(3)}",
            )
            writer.observe(outcome, now)
            counted.merge(outcome.route to (outcome.version == MoveFixture.MOVE.to), 1, Int::plus)
            if (random.nextInt(5) == 0) writer.nextDelta(random.nextInt(1, 8))?.let(sent::add)
            if (sent.isNotEmpty() && random.nextBoolean()) reader.merge(sent[random.nextInt(sent.size)], now)
        }
        writers.forEach { writer -> repeat(2) { reader.merge(writer.fullDelta() ?: return@forEach, now) } }
        val sums = HashMap<Pair<RouteName, Boolean>, Int>()
        reader.totals.filterKeys { it.window.lengthSeconds == 1 }.forEach { (key, counters) ->
            sums.merge(key.route to key.isNewVersion, counters.attempts, Int::plus)
        }
        assertEquals(counted, sums)
    }

    @Test
    fun `rows outside the kept windows are dropped, so that a long move does not fill the memory`() {
        val evidence = Evidence(MoveFixture.SELF, MoveFixture.ID)
        repeat(3_000) { second -> evidence.observe(MoveFixture.outcome(new = true), MoveFixture.START.plusSeconds(second.toLong())) }
        evidence.prune(MoveFixture.START.plusSeconds(3_000))
        assertTrue(evidence.rowCount <= EvidenceWindows.LENGTHS_SECONDS.size * EvidenceWindows.KEPT_PER_LEVEL, "${evidence.rowCount} rows")
    }

    @Test
    fun `a delta of the usual number of rows fits into a datagram`() {
        val evidence = Evidence(MoveFixture.SELF, MoveFixture.ID)
        repeat(100) { evidence.observe(MoveFixture.outcome(it % 2 == 0, millis = 5L + it % 7, route = "r${it % 3}"), now) }
        val values = evidence.nextDelta(36)?.values.orEmpty()
        // Small integers take one or two bytes in CBOR; half of the datagram is left for names and authentication.
        assertTrue(values.size < 400, "${values.size} values")
    }

    @Test
    fun `values with a wrong layout are refused as a whole`() {
        assertNull(EvidenceCodec.decode(listOf(0, 1, 5, 1), listOf(RouteName("r"))))
        assertNull(EvidenceCodec.decode(listOf(0, 1, 5, 1, 0, 3, 1, 1), listOf(RouteName("r"))))
        assertNull(EvidenceCodec.decode(listOf(8, 1, 5, 1, 0, 0), listOf(RouteName("r"))))
    }
}
