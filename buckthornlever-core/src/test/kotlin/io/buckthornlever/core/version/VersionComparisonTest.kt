package io.buckthornlever.core.version

import java.util.SplittableRandom
import kotlin.test.Test
import kotlin.test.assertFalse
import kotlin.test.assertTrue

internal class VersionComparisonTest {
    private val random = SplittableRandom(3)
    private val evidence = Evidence(MoveFixture.SELF, MoveFixture.ID)

    /** Observes 40 attempts in each of [seconds], every fourth on the new version, and assesses all evidence so far. */
    private fun assessAfter(
        seconds: IntRange,
        outcome: (Boolean, String) -> Outcome,
    ): Assessment {
        for (second in seconds) {
            repeat(40) {
                evidence.observe(
                    outcome(
                        it % 4 == 0,
                        if (it % 10 <
                            7
                        ) {
                            "big"
                        } else {
                            "small"
                        },
                    ),
                    MoveFixture.START.plusSeconds(second.toLong()),
                )
            }
        }
        return VersionComparison(evidence.totals).assess()
    }

    private fun healthyOutcome(
        new: Boolean,
        route: String,
    ): Outcome = MoveFixture.outcome(new, random.nextInt(200) == 0, random.nextLong(10, 60), route)

    @Test
    fun `a version like the old one is decided good`() {
        val result = assessAfter(0..60, ::healthyOutcome)
        assertTrue(result.isProvenGood && result.allowsProgress, "$result")
    }

    @Test
    fun `a version that starts to fail after minutes is bad within two seconds`() {
        assessAfter(0..200, ::healthyOutcome)
        assertTrue(
            assessAfter(201..202) { new, route ->
                if (new &&
                    random.nextBoolean()
                ) {
                    MoveFixture.outcome(true, failed = true, route = route)
                } else {
                    healthyOutcome(new, route)
                }
            }.isBad,
        )
    }

    @Test
    fun `a version that is three times slower on the small route only is bad`() {
        val result =
            assessAfter(0..60) { new, route ->
                if (new &&
                    route == "small"
                ) {
                    MoveFixture.outcome(true, millis = random.nextLong(30, 180), route = route)
                } else {
                    healthyOutcome(new, route)
                }
            }
        assertTrue(result.isBad && "small" in result.worstTest, "$result")
    }

    @Test
    fun `errors that both versions have at the same time do not count against the new one`() {
        assessAfter(0..60, ::healthyOutcome)
        val result = assessAfter(61..75) { new, route -> MoveFixture.outcome(new, random.nextInt(3) == 0, random.nextLong(10, 60), route) }
        assertFalse(result.isBad, "$result")
    }

    @Test
    fun `errors of both versions count as shared when the old one is under load and the new one is not`() {
        fun loaded(
            new: Boolean,
            route: String,
            failed: Boolean,
        ) = MoveFixture.outcome(new, failed, random.nextLong(10, 60), route, underLoad = !new)
        assessAfter(0..60) { new, route -> loaded(new, route, random.nextInt(200) == 0) }
        assertFalse(assessAfter(61..75) { new, route -> loaded(new, route, random.nextInt(3) == 0) }.isBad)
    }

    @Test
    fun `a new version under load is not slower than an old one without load for that reason`() {
        val result =
            assessAfter(0..60) { new, route ->
                MoveFixture.outcome(new, false, random.nextLong(10, 60) * if (new) 3 else 1, route, underLoad = new)
            }
        assertFalse(result.isBad, "$result")
    }
}
