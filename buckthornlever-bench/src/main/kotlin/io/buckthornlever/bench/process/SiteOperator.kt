package io.buckthornlever.bench.process

import io.buckthornlever.api.process.FailureDomain
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import java.io.IOException
import java.time.Duration
import java.time.Instant

/** Acts as an operator does and records when changes are in effect. */
internal class SiteOperator(
    private val fixture: SiteFixture,
    private val events: EventRecord,
) {
    private val http = OkHttpClient()
    private val outSince = HashMap<FailureDomain, Instant>()
    private val highest = HashMap<String, Long>()

    /** Takes [domain] out of service; true when the change was accepted and is in effect. */
    @Synchronized
    fun takeOut(domain: FailureDomain): Boolean {
        val start = System.nanoTime()
        if (!send(domain, "take-out")) return false
        SiteFixture.awaitOrFail("$domain is out everywhere") { running().all { domain in it.effectiveConfiguration.pools.domainsOut } }
        events.changeTimes += Duration.ofNanos(System.nanoTime() - start)
        outSince[domain] = Instant.now()
        return true
    }

    /** Returns [domain] to service; true when the change was accepted. */
    @Synchronized
    fun giveBack(domain: FailureDomain): Boolean {
        val until = Instant.now()
        if (!send(domain, "return")) return false
        outSince.remove(domain)?.let { events.domainsOut += EventRecord.DomainOut(domain, it, until) }
        return true
    }

    /** Looks at the revision of every instance; counts those that went back. */
    @Synchronized
    fun sampleRevisions() {
        fixture.daemons.forEachIndexed { index, daemon ->
            val now = daemon.effectiveConfiguration.pools.revision
            if (now < (highest["entry-$index"] ?: 0)) events.revisionReverts.incrementAndGet()
            highest["entry-$index"] = now
        }
    }

    private fun running() = fixture.daemons.filterIndexed { index, _ -> index !in events.closedInstances }

    private fun send(
        domain: FailureDomain,
        action: String,
    ): Boolean {
        val url = "${running().first().operatorUrl}/admin/domains/$domain/$action"
        val request =
            Request
                .Builder()
                .url(url)
                .header("Authorization", "Bearer ${SiteFixture.OPERATOR_TOKEN}")
                .post(ByteArray(0).toRequestBody())
                .build()
        return try {
            http.newCall(request).execute().use { it.isSuccessful }
        } catch (e: IOException) {
            false
        }
    }
}
