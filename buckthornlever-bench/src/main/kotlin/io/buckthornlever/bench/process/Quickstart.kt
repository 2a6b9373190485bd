package io.buckthornlever.bench.process

import java.time.Duration
import java.time.Instant
import java.util.concurrent.TimeUnit
import java.util.concurrent.locks.LockSupport

/** Runs a whole site under mixed traffic with a reclaim, a domain taken out and returned, and a graceful shutdown. */
internal class Quickstart(
    private val site: Site,
    private val duration: Duration,
    private val seed: Long,
) {
    private val events = EventRecord()
    private val start = System.nanoTime()

    /** Runs to the end and returns the checked lines. */
    fun run(): List<InvariantResult> =
        SiteFixture(SiteLayout.of(site)).use { fixture ->
            fixture.start()
            say("${fixture.daemons.size} entry instances, ${fixture.engines.size} model engines, ${fixture.services.size} services are up")
            val traffic = TrafficGenerator(fixture, seed, CALLERS)
            traffic.use {
                it.start()
                act(fixture, it, SiteOperator(fixture, events))
            }
            val calls = traffic.finished
            say("${calls.size} calls, ${calls.count { it.whole }} with their whole answer")
            InvariantChecker(fixture, calls, events).check()
        }

    private fun act(
        fixture: SiteFixture,
        traffic: TrafficGenerator,
        operator: SiteOperator,
    ) {
        val domain = fixture.layout.domains[1]
        until(operator, traffic, RECLAIM_AT)
        reclaim(fixture)
        until(operator, traffic, DOMAIN_OUT_AT)
        check(operator.takeOut(domain)) { "taking out $domain was refused" }
        say("operator took out $domain; in effect on all instances after ${events.changeTimes.last().toMillis()} ms")
        until(operator, traffic, RESTART_AT)
        fixture.engines[0].restart()
        say("engine-0 is back, cold")
        until(operator, traffic, DOMAIN_BACK_AT)
        check(operator.giveBack(domain)) { "returning $domain was refused" }
        say("operator returned $domain")
        until(operator, traffic, SHUTDOWN_AT)
        say("entry-${fixture.daemons.lastIndex} shuts down gracefully")
        events.closedInstances += fixture.daemons.lastIndex
        fixture.daemons.last().close()
        until(operator, traffic, 1.0)
    }

    private fun reclaim(fixture: SiteFixture) {
        val notice = Duration.ofMillis((duration.toMillis() * NOTICE_SHARE).toLong())
        val now = Instant.now()
        events.reclaims += EventRecord.Reclaim(0, now, now.plus(notice))
        fixture.engines[0].reclaim(notice)
        say("engine-0 is reclaimed with ${notice.toMillis()} ms of notice")
    }

    /** Waits until [share] of the run is over; watches that no revision goes back. */
    private fun until(
        operator: SiteOperator,
        traffic: TrafficGenerator,
        share: Double,
    ) {
        var nextReport = System.nanoTime() + REPORT_EVERY.toNanos()
        while (System.nanoTime() - start < duration.toNanos() * share) {
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(SAMPLE_MILLIS))
            operator.sampleRevisions()
            if (System.nanoTime() < nextReport) continue
            nextReport += REPORT_EVERY.toNanos()
            say("${traffic.finished.size} calls done")
        }
    }

    private fun say(text: String) {
        println("[%6.1f s] %s".format((System.nanoTime() - start) / NANOS_PER_SECOND, text))
    }

    private companion object {
        const val CALLERS = 12
        const val RECLAIM_AT = 0.15
        const val NOTICE_SHARE = 0.25
        const val DOMAIN_OUT_AT = 0.25
        const val RESTART_AT = 0.55
        const val DOMAIN_BACK_AT = 0.70
        const val SHUTDOWN_AT = 0.85
        const val SAMPLE_MILLIS = 50L
        const val NANOS_PER_SECOND = 1e9
        val REPORT_EVERY: Duration = Duration.ofSeconds(2)
    }
}
