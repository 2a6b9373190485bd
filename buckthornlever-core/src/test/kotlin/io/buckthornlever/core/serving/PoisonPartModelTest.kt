package io.buckthornlever.core.serving

import io.buckthornlever.api.connection.UpstreamId
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertTrue

/**
 * Instances of a site that share their evidence with some delay while requests with a deadly part crash upstreams. Runs that wait at
 * a crashed upstream lose their connection too.
 */
class PoisonPartModelTest {
    @Test
    fun `a deadly part is blocked everywhere soon after five crashes and no sound part is blocked`() {
        for (seed in 1..SEEDS) Site(Random(seed), seed).play()
    }

    private class Site(
        private val random: Random,
        private val seed: Int,
    ) {
        private val instances = List(2 + random.nextInt(10)) { PoisonPartTracker() }
        private val sentRevisions = LongArray(instances.size)
        private val upstreamCount = 4 + random.nextInt(20)
        private val deadlyDepth = random.nextInt(3)
        private val deadlyPerThousand = 10 + random.nextInt(300)
        private val ownParts = 5 + random.nextInt(150)
        private var restarts = 0
        private val crashTimes = ArrayList<Long>()
        private var sentAfterGrace = 0

        /** Runs that have begun at an upstream and have no output yet: instance, parts, time of the output. */
        private val waiting = List(upstreamCount) { ArrayList<Run>() }
        private val upUntil = LongArray(upstreamCount)

        fun play() {
            for (now in START until START + LENGTH_MILLIS step STEP_MILLIS) {
                finishRuns(now)
                if (now % GOSSIP_MILLIS == 0L) gossip(now)
                repeat(random.nextInt(3)) { send(now) }
            }
            assertTrue(sentAfterGrace <= 3, "seed $seed: $sentAfterGrace requests with the deadly part, ${crashTimes.size} crashes")
            for (instance in instances) {
                assertTrue(
                    instance.blocked.all {
                        DEADLY in it
                    },
                    "seed $seed: sound parts are blocked: ${instance.blocked}",
                )
            }
        }

        private fun send(now: Long) {
            val isDeadly = now > START + HEALTHY_MILLIS && random.nextInt(1_000) < deadlyPerThousand
            val own = if (isDeadly) OWN else OWN + random.nextInt(ownParts)
            val sharedParts = mutableListOf(FIRST, own, OTHER)
            if (isDeadly) sharedParts[deadlyDepth] = DEADLY
            val instance = random.nextInt(instances.size)
            if (instances[instance].blocks(sharedParts)) return
            val candidates = upUntil.indices.filter { upUntil[it] <= now }
            val upstream = candidates.randomOrNull(random) ?: return
            if (isDeadly && crashTimes.size >= FREE_CRASHES && now > crashTimes[FREE_CRASHES - 1] + GRACE_MILLIS) sentAfterGrace++
            waiting[upstream].add(Run(instance, sharedParts.toList(), now + 50 + random.nextInt(500)))
        }

        private fun finishRuns(now: Long) {
            for (upstream in waiting.indices) {
                val due = waiting[upstream].filter { it.outputAt <= now }.sortedBy { it.outputAt }
                val deadly = due.firstOrNull { DEADLY in it.parts }
                for (run in due.takeWhile { it !== deadly }) {
                    waiting[upstream].remove(run)
                    instances[run.instance].onOutput(run.parts, now)
                }
                if (deadly != null) crash(upstream, now)
            }
        }

        private fun crash(
            upstream: Int,
            now: Long,
        ) {
            crashTimes.add(now)
            for (run in waiting[upstream]) instances[run.instance].onCrash(run.parts, UpstreamId("u$upstream-$restarts"), now)
            waiting[upstream].clear()
            restarts++
            upUntil[upstream] = now + 3_000
        }

        /** The first instance collects the evidence and sends what is new to all, and everything now and then; some messages are lost. */
        private fun gossip(now: Long) {
            for (i in 1 until instances.size) {
                instances[0].merge(instances[i].observedEvidence(sentRevisions[i]), now)
                sentRevisions[i] = instances[i].revision
            }
            val merged = instances[0].evidence(if (now % REFRESH_MILLIS == 0L) 0 else sentRevisions[0])
            sentRevisions[0] = instances[0].revision
            for (i in 1 until instances.size) if (random.nextInt(20) > 0) instances[i].merge(merged, now)
        }

        private class Run(
            val instance: Int,
            val parts: List<Long>,
            val outputAt: Long,
        )
    }

    private companion object {
        const val SEEDS = 200
        const val START = 1_000_000L
        const val LENGTH_MILLIS = 20_000L
        const val HEALTHY_MILLIS = 4_000L
        const val STEP_MILLIS = 20L
        const val GOSSIP_MILLIS = 400L
        const val REFRESH_MILLIS = 1_200L
        const val FREE_CRASHES = 5
        const val GRACE_MILLIS = 3_000L
        const val DEADLY = -1L
        const val FIRST = 1L
        const val OTHER = 2L
        const val OWN = 100L
    }
}
