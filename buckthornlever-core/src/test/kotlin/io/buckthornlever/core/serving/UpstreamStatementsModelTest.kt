package io.buckthornlever.core.serving

import io.buckthornlever.api.connection.UpstreamId
import io.buckthornlever.api.process.FailureDomain
import io.buckthornlever.api.process.InstanceId
import io.buckthornlever.api.serving.DiscoveredUpstream
import java.time.Duration
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** Guards against requests to upstreams that have said that they leave or want none, in random histories of a few upstreams. */
class UpstreamStatementsModelTest {
    @Test
    fun `no history brings back an upstream in the life in which it left or before its pause is over`() {
        for (seed in 1..SEEDS) History(Random(seed), seed).play()
    }

    /** What one upstream has said in its present life, as the test knows it. */
    private class Life(
        val registration: DiscoveredUpstream,
    ) {
        var hasLeft = false
        var pausedUntil = Long.MIN_VALUE
    }

    private class History(
        private val random: Random,
        private val seed: Int,
    ) {
        private val clock = ManualClock()
        private val balancer = UpstreamBalancer(InstanceId("i"), FailureDomain("a"), clock)
        private val lives = HashMap<UpstreamId, Life>()
        private var births = 0L

        /** Requests in flight, with the life that they were sent to. */
        private val sent = ArrayList<Pair<UpstreamEntry, Life>>()

        fun play() {
            repeat(UPSTREAMS) { begin(UpstreamId("u$it")) }
            repeat(STEPS) { step ->
                clock.nanos += Duration.ofMillis(random.nextLong(200)).toNanos()
                val id = UpstreamId("u${random.nextInt(UPSTREAMS)}")
                when (random.nextInt(10)) {
                    0 -> balancer.onUnregistered(id)
                    1 -> begin(id)
                    2 -> register(lives.getValue(id))
                    3, 4, 5 -> answer()
                    else -> place(step)
                }
            }
        }

        private fun begin(id: UpstreamId) {
            val life = Life(ServingFixtures.upstream(id.value).copy(bornMillis = ++births))
            lives[id] = life
            register(life)
        }

        private fun register(life: Life) = balancer.onRegistered(life.registration, clock.nanos)

        private fun place(step: Int) {
            val placement = balancer.choose(PlacementQuery("s"), clock.nanos)
            val known = balancer.upstreams.map { lives.getValue(it.upstream.id) }
            if (placement is Placement.Paused) {
                val present = known.filterNot { it.hasLeft }
                assertTrue(present.all { it.pausedUntil > clock.nanos }, "seed $seed, step $step")
                assertTrue(placement.returnNanos == present.minOf { it.pausedUntil }, "seed $seed, step $step")
            }
            if (placement !is Placement.Chosen) return
            val life = lives.getValue(placement.upstream.upstream.id)
            assertFalse(life.hasLeft, "seed $seed, step $step: ${placement.upstream.upstream.id} has left")
            assertTrue(life.pausedUntil <= clock.nanos, "seed $seed, step $step: ${placement.upstream.upstream.id} is paused")
            balancer.onRequestSent(placement.upstream, 0, clock.nanos)
            sent.add(placement.upstream to life)
        }

        private fun answer() {
            if (sent.isEmpty()) return
            val (entry, life) = sent.removeAt(random.nextInt(sent.size))
            when (random.nextInt(4)) {
                0 -> {
                    life.hasLeft = true
                    balancer.onLeavingStated(entry, clock.nanos)
                }
                1 -> pause(entry, life)
                else -> balancer.onPauseStated(entry, StatedPause.None, clock.nanos)
            }
            balancer.onRequestFinished(entry, false, clock.nanos)
        }

        private fun pause(
            entry: UpstreamEntry,
            life: Life,
        ) {
            val time = Duration.ofMillis(random.nextLong(3_000))
            life.pausedUntil = maxOf(life.pausedUntil, clock.nanos + time.toNanos())
            balancer.onPauseStated(entry, StatedPause.For(time), clock.nanos)
        }
    }

    private companion object {
        const val SEEDS = 300
        const val UPSTREAMS = 4
        const val STEPS = 400
    }
}
