package io.buckthornlever.core.serving

import io.buckthornlever.api.process.AccountId
import io.buckthornlever.api.serving.QuotaUnit
import io.buckthornlever.api.serving.ServedAccount
import java.time.Duration
import java.util.Random
import kotlin.test.Test
import kotlin.test.assertTrue

/**
 * Failures of quota holders and of the store while an account requests half of its quota. Guards against requests that are refused or
 * wait because a holder does not answer, against granting units twice after a failure, and against refusals that outlast it.
 */
class QuotaFaultTest {
    @Test
    fun `holders that are killed are not waited for`() {
        check("killed", allowed = 0.01, end = { for (name in held) network.start(name) }) { for (name in held) network.kill(name) }
    }

    @Test
    fun `holders that are frozen are not waited for`() {
        check("frozen", allowed = 0.01) { for (name in held) network.freeze(name, FAULT) }
    }

    @Test
    fun `holders that are suspended are not waited for and grant nothing before they have read the store`() {
        check("suspended", allowed = 0.01) { for (name in held) network.suspend(name, FAULT) }
    }

    @Test
    fun `holders that are partitioned are not waited for`() {
        check("partitioned", allowed = 0.01, end = { network.cutOff.clear() }) { network.cutOff.addAll(held) }
    }

    @Test
    fun `a holder that hears nothing is not waited for`() {
        check("deaf", allowed = 0.01, end = { network.deaf.clear() }) { network.deaf.addAll(held) }
    }

    @Test
    fun `requests are served while the store is unavailable`() {
        check("store away", allowed = 0.01, end = { network.isStoreAway = false }) { network.isStoreAway = true }
    }

    @Test
    fun `a restore of the store from a copy refuses nothing`() {
        check("restored", allowed = 0.01, end = { network.restore() }) { network.backUp() }
    }

    @Test
    fun `half of the instances may come back with empty memory`() {
        check("half restarted", allowed = 0.01) {
            for (name in network.names.filterIndexed { index, _ -> index % 2 == 0 }) {
                network.kill(name)
                network.start(name)
            }
        }
    }

    private fun check(
        description: String,
        allowed: Double,
        end: Load.() -> Unit = {},
        begin: Load.() -> Unit,
    ) {
        for (seed in 1L..5L) {
            val load = Load(seed)
            load.run(Duration.ofSeconds(4), load.network.names)
            val before = load.network.outcomes.size
            load.begin()
            load.run(FAULT, load.network.names - load.held.toSet())
            load.end()
            load.run(Duration.ofSeconds(2), load.network.names)
            val during = load.network.outcomes.drop(before)
            val refused = during.count { !it.isCharged }
            val longest = during.maxOf { it.waited }
            val after = load.network.outcomes.size
            load.run(Duration.ofSeconds(4), load.network.names)
            val later = load.network.outcomes.drop(after).count { !it.isCharged }
            println("$description, seed $seed: refused $refused of ${during.size}, longest wait ${longest / 1e6} ms, later $later")
            assertTrue(refused <= during.size * allowed, "$description: refused $refused of ${during.size}, seed $seed")
            assertTrue(longest <= MAX_WAIT.plusMillis(1).toNanos(), "$description: waited ${Duration.ofNanos(longest)}, seed $seed")
            assertTrue(later == 0, "$description: refused $later afterwards, seed $seed")
            assertTrue(load.network.maxWindowUsage() <= LIMIT, "$description: used ${load.network.maxWindowUsage()}, seed $seed")
        }
    }

    /** Requests of about 4,000 units at 16 instances, each of which holds one share. */
    private class Load(
        seed: Long,
    ) {
        private val random = Random(seed)
        val network = QuotaNetwork(16, ACCOUNT, BOUNDS, random)

        /** Five of the sixteen holders. */
        val held = network.names.take(5)

        fun run(
            duration: Duration,
            names: List<String>,
        ) {
            val end = network.now + duration.toNanos()
            while (network.now < end) {
                val cost = 1_000.0 - Math.log(1 - random.nextDouble()) * 3_000
                network.request(names[random.nextInt(names.size)], cost, 0, MAX_WAIT)
                network.advance(Duration.ofNanos((-Math.log(1 - random.nextDouble()) * 1e9 / REQUESTS_PER_SECOND).toLong()))
            }
        }
    }

    private companion object {
        val FAULT: Duration = Duration.ofSeconds(5)
        val MAX_WAIT: Duration = Duration.ofMillis(125)
        val BOUNDS = QuotaBounds(Duration.ofSeconds(8), 0.1, 140_000.0)
        val ACCOUNT = ServedAccount(AccountId("a"), setOf("k"), null, QuotaUnit.TOKENS, 1, 900_000.0, 180_000.0)
        val LIMIT = BOUNDS.limit(ACCOUNT)
        const val REQUESTS_PER_SECOND = 110.0
    }
}
