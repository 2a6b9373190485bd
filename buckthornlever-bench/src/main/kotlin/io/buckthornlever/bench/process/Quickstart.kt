package io.buckthornlever.bench.process

import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
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
    private val timeline = InvariantChecker.Timeline()
    private val http = OkHttpClient()
    private val start = System.nanoTime()
    private var highestRevisions = emptyList<Long>()

    /** Runs to the end and returns the checked lines. */
    fun run(): List<InvariantResult> =
        SiteFixture(SiteLayout.of(site)).use { fixture ->
            fixture.start()
            say("${fixture.daemons.size} entry instances, ${fixture.engines.size} model engines, ${fixture.services.size} services are up")
            val traffic = TrafficGenerator(fixture, seed, CALLERS)
            traffic.use {
                it.start()
                events(fixture, it)
            }
            val calls = traffic.finished
            say("${calls.size} calls, ${calls.count { it.whole }} with their whole answer")
            InvariantChecker(fixture, calls, timeline).check()
        }

    private fun events(
        fixture: SiteFixture,
        traffic: TrafficGenerator,
    ) {
        until(fixture, traffic, RECLAIM_AT)
        reclaim(fixture)
        until(fixture, traffic, DOMAIN_OUT_AT)
        takeOut(fixture)
        until(fixture, traffic, RESTART_AT)
        fixture.engines[timeline.reclaimedEngine].restart()
        say("engine-${timeline.reclaimedEngine} is back, cold")
        until(fixture, traffic, DOMAIN_BACK_AT)
        timeline.domainBack = Instant.now()
        operate(fixture, "return")
        until(fixture, traffic, SHUTDOWN_AT)
        timeline.closedInstance = fixture.daemons.lastIndex
        say("entry-${timeline.closedInstance} shuts down gracefully")
        fixture.daemons.last().close()
        until(fixture, traffic, 1.0)
    }

    private fun reclaim(fixture: SiteFixture) {
        timeline.reclaimedEngine = 0
        timeline.reclaimNotice = Instant.now()
        val notice = Duration.ofMillis((duration.toMillis() * NOTICE_SHARE).toLong())
        fixture.engines[0].reclaim(notice)
        say("engine-0 is reclaimed with ${notice.toMillis()} ms of notice")
    }

    private fun takeOut(fixture: SiteFixture) {
        timeline.domainIndex = 1
        val before = System.nanoTime()
        timeline.domainOut = Instant.now()
        operate(fixture, "take-out")
        val domain = fixture.layout.domains[1]
        SiteFixture.awaitOrFail("the change is in effect") { fixture.daemons.all { domain in it.effectiveConfiguration.pools.domainsOut } }
        timeline.changeInEffect = Duration.ofNanos(System.nanoTime() - before)
        say("in effect on all instances after ${timeline.changeInEffect?.toMillis()} ms")
    }

    private fun operate(
        fixture: SiteFixture,
        action: String,
    ) {
        val domain = fixture.layout.domains[timeline.domainIndex]
        val url = "${fixture.daemons.first().operatorUrl}/admin/domains/$domain/$action"
        val request =
            Request
                .Builder()
                .url(url)
                .header("Authorization", "Bearer ${SiteFixture.OPERATOR_TOKEN}")
                .post(ByteArray(0).toRequestBody())
                .build()
        http.newCall(request).execute().use {
            check(it.isSuccessful) { "$action of $domain was refused with ${it.code}: ${it.body.string()}" }
        }
        say("operator: $action $domain")
    }

    /** Waits until [share] of the run is over; watches that no revision goes back. */
    private fun until(
        fixture: SiteFixture,
        traffic: TrafficGenerator,
        share: Double,
    ) {
        var nextReport = System.nanoTime() + REPORT_EVERY.toNanos()
        while (System.nanoTime() - start < duration.toNanos() * share) {
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(SAMPLE_MILLIS))
            sampleRevisions(fixture)
            if (System.nanoTime() < nextReport) continue
            nextReport += REPORT_EVERY.toNanos()
            say("${traffic.finished.size} calls done")
        }
    }

    private fun sampleRevisions(fixture: SiteFixture) {
        val now = fixture.daemons.map { it.effectiveConfiguration.pools.revision }
        if (highestRevisions.isNotEmpty()) timeline.revisionReverts += now.indices.count { now[it] < highestRevisions[it] }
        highestRevisions = now
    }

    private fun say(text: String) {
        println("[%6.1f s] %s".format((System.nanoTime() - start) / NANOS_PER_SECOND, text))
    }

    private companion object {
        const val CALLERS = 12
        const val RECLAIM_AT = 0.10
        const val NOTICE_SHARE = 0.20
        const val DOMAIN_OUT_AT = 0.20
        const val RESTART_AT = 0.50
        const val DOMAIN_BACK_AT = 0.70
        const val SHUTDOWN_AT = 0.85
        const val SAMPLE_MILLIS = 50L
        const val NANOS_PER_SECOND = 1e9
        val REPORT_EVERY: Duration = Duration.ofSeconds(2)
    }
}
