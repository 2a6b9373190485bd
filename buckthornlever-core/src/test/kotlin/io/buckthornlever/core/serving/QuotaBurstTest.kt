package io.buckthornlever.core.serving

import io.buckthornlever.api.process.AccountId
import io.buckthornlever.api.serving.QuotaUnit
import io.buckthornlever.api.serving.ServedAccount
import java.time.Duration
import java.util.Random
import kotlin.test.Test
import kotlin.test.assertTrue

/**
 * Plays an account that asks for several times its quota at all instances at once. Guards against instances that all grant the
 * same room when it comes free, and against the use of less than the quota.
 */
class QuotaBurstTest {
    @Test
    fun `a burst at nine instances stays within what is tolerated`() {
        val fleet = play(9, cut = emptySet())
        assertTrue(fleet.maxWindowUsage() <= ALLOWED, "used ${fleet.maxWindowUsage()} of $ALLOWED")
    }

    @Test
    fun `a burst stays within what is tolerated while instances are cut off from each other`() {
        val fleet = play(9, cut = setOf("i0", "i1", "i2"))
        assertTrue(fleet.maxWindowUsage() <= ALLOWED, "used ${fleet.maxWindowUsage()} of $ALLOWED")
    }

    @Test
    fun `a burst leaves the account what it is owed at any number of instances`() {
        for (instances in listOf(1, 9, 95)) {
            val fleet = play(instances, cut = emptySet())
            val last = fleet.granted(STEPS * STEP.toNanos() - BOUNDS.window.toNanos(), STEPS * STEP.toNanos())
            assertTrue(last >= OWED, "used $last of $OWED owed at $instances instances")
        }
    }

    @Test
    fun `an account that asks for most of its quota is hardly ever refused`() {
        for (instances in listOf(9, 95)) {
            val random = Random(3)
            val fleet = QuotaSimulation(instances, ACCOUNT, BOUNDS)
            var refused = 0
            for (step in 0 until STEPS) {
                if (step % 100 == 0) fleet.names.forEach { fleet.readStore(it, step * STEP.toNanos()) }
                val cost = cost(random)
                // Nine tenths of what is owed.
                if (random.nextDouble() > 0.9 * ACCOUNT.ratePerSecond * STEP.toMillis() / 1_000 / (MEAN_COST + LEAST_COST)) continue
                if (!fleet.serve("i${random.nextInt(instances)}", cost, step * STEP.toNanos())) refused++
            }
            assertTrue(refused <= STEPS / 100, "refused $refused at $instances instances")
        }
    }

    @Test
    fun `instances that are all killed at once do not grant the quota twice in one window`() {
        val fleet = QuotaSimulation(9, ACCOUNT, BOUNDS)
        val random = Random(5)
        burst(fleet, random, 0, 500)
        fleet.names.toList().forEach(fleet::kill)
        repeat(9) { fleet.start("i$it", 500 * STEP.toNanos()) }
        burst(fleet, random, 500, 2_000)
        assertTrue(fleet.maxWindowUsage() <= ALLOWED, "used ${fleet.maxWindowUsage()} of $ALLOWED")
    }

    @Test
    fun `a usual load is served on after a kill of all instances`() {
        val fleet = QuotaSimulation(9, ACCOUNT, BOUNDS)
        fleet.names.toList().forEach(fleet::kill)
        repeat(9) { fleet.start("i$it", 0) }
        val random = Random(5)
        var refused = 0
        for (step in 0 until 800) {
            // Two fifths of what is owed.
            if (random.nextDouble() > 0.4 * ACCOUNT.ratePerSecond * STEP.toMillis() / 1_000 / (MEAN_COST + LEAST_COST)) continue
            if (!fleet.serve("i${random.nextInt(9)}", cost(random), step * STEP.toNanos())) refused++
        }
        assertTrue(refused <= 2, "refused $refused")
    }

    private fun play(
        instances: Int,
        cut: Set<String>,
    ): QuotaSimulation {
        val fleet = QuotaSimulation(instances, ACCOUNT, BOUNDS)
        fleet.partitioned.addAll(cut)
        burst(fleet, Random(7), 0, STEPS)
        return fleet
    }

    private fun burst(
        fleet: QuotaSimulation,
        random: Random,
        from: Int,
        to: Int,
    ) {
        val names = fleet.names.toList()
        for (step in from until to) {
            if (step % 100 == 0) names.forEach { fleet.readStore(it, step * STEP.toNanos()) }
            for (name in names) {
                if (random.nextDouble() <= BUSY * 9 / names.size) fleet.serve(name, cost(random), step * STEP.toNanos())
            }
        }
    }

    private fun cost(random: Random): Double = LEAST_COST - Math.log(1 - random.nextDouble()) * MEAN_COST

    private companion object {
        val BOUNDS = QuotaBounds(Duration.ofSeconds(8), 0.1, 140_000.0)
        val ACCOUNT = ServedAccount(AccountId("a"), setOf("k"), null, QuotaUnit.TOKENS, 1, 90_000.0, 18_000.0)
        const val OWED = 90_000.0 * 8
        const val ALLOWED = (OWED + 18_000) * 1.1 + 140_000
        val STEP: Duration = Duration.ofMillis(10)
        const val STEPS = 3_000

        /** Together several times the quota. */
        const val BUSY = 0.12
        const val LEAST_COST = 400.0
        const val MEAN_COST = 5_000.0
    }
}
