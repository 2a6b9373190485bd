package io.buckthornlever.core.request

import io.buckthornlever.api.connection.UpstreamId
import io.buckthornlever.api.process.InstanceId
import io.buckthornlever.core.process.CallOutcome
import io.buckthornlever.core.process.ManualClock
import io.buckthornlever.core.process.UpstreamHealth
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import java.time.Duration
import kotlin.random.Random
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Runs the router against a model that scans all upstreams. */
class RequestRouterModelTest {
    private class Model(
        val id: String,
        val domain: String,
    ) {
        var inFlight = 0
        var others = 0
        var capacity = CONCURRENCY
        var leaving = false
        var health = UpstreamHealth.HEALTHY
        val usable get() = !leaving && health == UpstreamHealth.HEALTHY
        val admits get() = usable && inFlight < CONCURRENCY && inFlight + others < capacity
    }

    /** Guards against an index or sums that go stale after events, and against choices that a scan would not allow. */
    @Property(seed = "41", tries = 150)
    fun `chooses what a scan allows`(
        @ForAll seed: Long,
    ) {
        val random = Random(seed)
        val clock = ManualClock()
        val router = RequestRouter(InstanceId("e1"), clock)
        val models = (1..random.nextInt(1, 30)).map { Model("u$it", "d${it % 3}") }
        var out = emptyList<String>()
        val specs = models.map { Fixtures.spec(it.id, it.domain, price = 1.0 + it.id.length, concurrency = CONCURRENCY) }
        router.configure(Fixtures.configuration(specs, out))
        specs.forEach { router.onLoadReported(it.id, Fixtures.report(0, CONCURRENCY, clock.now())) }
        for (step in 1..150) {
            clock.advance(Duration.ofMillis(200))
            val model = models.random(random)
            when (random.nextInt(8)) {
                0 -> finish(router, model)
                1 -> report(router, model, clock, random)
                2 -> UpstreamHealth.entries.random(random).let {
                    model.health = it
                    router.onHealthChanged(UpstreamId(model.id), it)
                }
                3 -> if (random.nextInt(6) == 0) {
                    out = listOf("d0", "d1", "d2").filter { random.nextInt(4) == 0 }
                    router.configure(Fixtures.configuration(specs, out, step + 1L))
                }
                else -> select(router, models, out, random)
            }
        }
    }

    private fun finish(
        router: RequestRouter,
        model: Model,
    ) {
        if (model.inFlight == 0) return
        model.inFlight--
        router.onCallFinished(UpstreamId(model.id), CallOutcome.Abandoned)
    }

    private fun report(
        router: RequestRouter,
        model: Model,
        clock: ManualClock,
        random: Random,
    ) {
        val running = random.nextInt(0, 12)
        model.capacity = random.nextInt(1, CONCURRENCY + 1)
        model.leaving = random.nextInt(6) == 0
        model.others = maxOf(0, running - model.inFlight)
        router.onLoadReported(UpstreamId(model.id), Fixtures.report(running, model.capacity, clock.now(), leaving = model.leaving))
    }

    private fun select(
        router: RequestRouter,
        models: List<Model>,
        out: List<String>,
        random: Random,
    ) {
        val prefix = if (random.nextBoolean()) longArrayOf(random.nextLong(5)) else LongArray(0)
        val selection = router.select(RoutingRequest(Fixtures.route(), prefix, random.nextLong()))
        val allowed = models.filter { it.domain !in out }
        if (selection !is Selection.Chosen) {
            val admitting = allowed.filter { it.admits }
            val few = allowed.size <= Candidates.MAX
            assertTrue(!few || admitting.isEmpty(), "$selection although $admitting")
            if (selection is Selection.NoUpstream) assertEquals(emptyList(), allowed.filter { it.usable }.map { it.id })
            return
        }
        val chosen = allowed.first { it.id == selection.upstream.id.value }
        assertTrue(chosen.admits || lastResort(chosen, allowed), "${chosen.id} was chosen")
        val entry = selection.explanation.candidates.single { it.verdict == Verdict.CHOSEN }
        assertEquals(chosen.inFlight + chosen.others, entry.load)
        chosen.inFlight++
    }

    private fun lastResort(
        chosen: Model,
        allowed: List<Model>,
    ): Boolean {
        val room = chosen.inFlight + chosen.others < chosen.capacity
        return chosen.health == UpstreamHealth.SUSPECT && !chosen.leaving && room &&
            (allowed.size > Candidates.MAX || allowed.none { it.admits })
    }

    private companion object {
        const val CONCURRENCY = 6
    }
}
