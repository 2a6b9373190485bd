package io.buckthornlever.core.serving

import io.buckthornlever.api.process.AccountId
import io.buckthornlever.api.serving.QuotaUnit
import io.buckthornlever.api.serving.ServedAccount
import java.time.Duration
import java.util.Random
import kotlin.test.Test
import kotlin.test.assertTrue

/**
 * An account that sends several times its quota through a whole site. Guards against refusals while its quota is not used, against
 * requests that wait for holders that are cut off, against messages for each request and holder, and against refusing what is urgent.
 */
class QuotaDemandTest {
    @Test
    fun `an account that asks for more uses nine tenths of its limit at any number of instances`() {
        for (instances in listOf(7, 70, 132)) {
            val load = Load(instances, ratePerSecond = 1_200.0)
            load.run(Duration.ofSeconds(20))
            val used = load.network.ran(BOUNDS.window) / LIMIT
            println("$instances instances: used $used, ${load.describe()}")
            assertTrue(used >= 0.9, "used $used of the limit at $instances instances")
            assertTrue(load.network.maxWindowUsage() <= LIMIT, "used ${load.network.maxWindowUsage()} of $LIMIT")
        }
    }

    @Test
    fun `while a third of the instances is cut off the account uses nine tenths of what the others hold`() {
        for (instances in listOf(7, 70, 132)) {
            val load = Load(instances, ratePerSecond = 1_200.0)
            load.run(Duration.ofSeconds(2))
            val cutOff = load.network.names.filterIndexed { index, _ -> index % 3 == 0 }
            val others = load.network.names - cutOff.toSet()
            load.network.cutOff.addAll(cutOff)
            load.run(Duration.ofSeconds(12), others)
            val used = load.network.ran(BOUNDS.window) / LIMIT
            val held = load.network.heldBy(others)
            println("$instances instances, cut: used $used of $held, ${load.describe()}")
            assertTrue(used >= 0.9 * held, "used $used of $held of the limit at $instances instances")
        }
    }

    @Test
    fun `requests within the limit are hardly refused while instances are cut off, and none two seconds later`() {
        val load = Load(16, ratePerSecond = 120.0)
        load.run(Duration.ofSeconds(1))
        load.network.cutOff.addAll(load.network.names.take(6))
        val others = load.network.names.drop(6)
        load.run(Duration.ofSeconds(12), others)
        println("16 instances, six cut off: ${load.describe()}")
        val refused = load.network.outcomes.count { !it.isCharged }
        assertTrue(refused <= load.network.outcomes.size / 100, "refused $refused of ${load.network.outcomes.size}")
        load.network.cutOff.clear()
        load.run(Duration.ofSeconds(2))
        val before = load.network.outcomes.size
        load.run(Duration.ofSeconds(5))
        val later = load.network.outcomes.drop(before)
        assertTrue(later.all { it.isCharged }, "refused ${later.count { !it.isCharged }} of ${later.size} after the cut")
    }

    @Test
    fun `messages do not grow with requests and holders under a hot account`() {
        for (instances in listOf(70, 132)) {
            val load = Load(instances, ratePerSecond = 1_200.0)
            load.run(Duration.ofSeconds(10))
            val perRequest = load.network.messages.toDouble() / load.network.outcomes.size
            println("$instances instances: $perRequest messages per request")
            assertTrue(perRequest <= 1.25, "$perRequest messages per request at $instances instances")
        }
    }

    @Test
    fun `no request waits for longer than its caller can bear`() {
        val load = Load(16, ratePerSecond = 1_200.0)
        load.network.cutOff.addAll(load.network.names.take(6))
        load.run(Duration.ofSeconds(6), load.network.names.drop(6))
        val longest = load.network.outcomes.maxOf { it.waited }
        assertTrue(longest <= MAX_WAIT.plusMillis(1).toNanos(), "waited ${Duration.ofNanos(longest)}")
    }

    /** Requests of [ACCOUNT], about 4,000 units each; instances with a low number get more of them. */
    private class Load(
        instances: Int,
        private val ratePerSecond: Double,
        private val priorities: List<Int> = listOf(0),
    ) {
        private val random = Random(11)
        val network = QuotaNetwork(instances, ACCOUNT, BOUNDS, random)

        fun run(
            duration: Duration,
            names: List<String> = network.names,
        ) {
            val end = network.now + duration.toNanos()
            while (network.now < end) {
                val skewed = random.nextDouble() * random.nextDouble().coerceAtLeast(0.5)
                val cost = 1_000.0 - Math.log(1 - random.nextDouble()) * 3_000
                network.request(names[(skewed * names.size).toInt()], cost, priorities[random.nextInt(priorities.size)], MAX_WAIT)
                network.advance(Duration.ofNanos((-Math.log(1 - random.nextDouble()) * 1e9 / ratePerSecond).toLong()))
            }
        }

        fun describe(): String {
            val waits = network.outcomes.map { it.waited / 1e6 }.sorted()
            val refusedWaits = network.outcomes.filter { !it.isCharged }.map { it.waited / 1e6 }.sorted()
            val kinds = network.outcomes.groupingBy { it.decision::class.simpleName }.eachCount()
            return "$kinds, wait p50 ${waits[waits.size / 2]} p99 ${waits[waits.size * 99 / 100]} ms, " +
                "refused p50 ${refusedWaits.getOrNull(
                    refusedWaits.size / 2,
                )} p99 ${refusedWaits.getOrNull(refusedWaits.size * 99 / 100)} ms, " +
                "${network.messages.toDouble() / network.outcomes.size} messages per request"
        }
    }

    private companion object {
        val MAX_WAIT: Duration = Duration.ofMillis(125)
        val BOUNDS = QuotaBounds(Duration.ofSeconds(8), 0.1, 140_000.0)
        val ACCOUNT = ServedAccount(AccountId("a"), setOf("k"), null, QuotaUnit.TOKENS, 1, 900_000.0, 180_000.0)

        /** 8.2 million units, a fifth to a third of what is asked for, which 16 holders share. */
        val LIMIT = BOUNDS.limit(ACCOUNT)
    }
}
