package io.buckthornlever.bench.process

import java.time.Duration
import java.time.Instant
import java.util.SplittableRandom
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit

/** Brings about faults at a site and ends those that last. */
internal class FaultInjector(
    private val fixture: SiteFixture,
    private val events: EventRecord,
    private val operator: SiteOperator,
    private val random: SplittableRandom,
) : AutoCloseable {
    private val timer = Executors.newScheduledThreadPool(TIMER_THREADS)
    private var shutdowns = 0

    /** Brings about [fault] at a place chosen by the seed. */
    fun inject(fault: SiteFault) {
        when (fault) {
            SiteFault.ENGINE_CRASH -> crashEngine(random.nextInt(fixture.engines.size))
            SiteFault.ENGINE_RECLAIM -> reclaimEngine(random.nextInt(fixture.engines.size))
            SiteFault.ENGINE_TURNS_COLD -> turnCold(random.nextInt(fixture.engines.size))
            SiteFault.SERVICE_CRASH -> crashService(random.nextInt(fixture.services.size))
            SiteFault.DOMAIN_LOST -> loseDomain(random.nextInt(fixture.layout.domains.size))
            SiteFault.DOMAIN_TAKEN_OUT -> takeOutDomain(random.nextInt(fixture.layout.domains.size))
            SiteFault.STORE_OUTAGE -> storeOutage()
            SiteFault.STORE_SLOW -> storeSlow()
            SiteFault.STORE_ANSWERS_LOST -> fixture.store.faults.loseResponses(COUNT)
            SiteFault.CONNECTIONS_SILENT -> silence()
            SiteFault.SERVICE_ANSWERS_LOST -> fixture.services[random.nextInt(fixture.services.size)].faults.loseResponses(COUNT)
            SiteFault.CHUNKS_CROSSED -> fixture.engines[random.nextInt(fixture.engines.size)].faults.swapChunks(COUNT)
            SiteFault.CHUNKS_LATE -> fixture.engines[random.nextInt(fixture.engines.size)].faults.insertLateChunks(COUNT)
            SiteFault.INSTANCE_SHUTDOWN -> shutDownInstance()
        }
    }

    /** Ends every fault that is still in force. */
    override fun close() {
        timer.shutdown()
        timer.awaitTermination(CLOSE_SECONDS, TimeUnit.SECONDS)
        fixture.store.faults.outage = false
        fixture.store.faults.delayMillis = 0
    }

    private fun crashEngine(index: Int) {
        val engine = fixture.engines[index]
        if (!engine.isUp) return
        engine.crash()
        after(RESTART) { engine.restart() }
    }

    private fun turnCold(index: Int) {
        events.coldTurns += index to Instant.now()
        fixture.engines[index].setCold(true)
    }

    private fun reclaimEngine(index: Int) {
        val engine = fixture.engines[index]
        if (!engine.isUp || engine.leaving) return
        val now = Instant.now()
        events.reclaims += EventRecord.Reclaim(index, now, now.plus(NOTICE))
        engine.reclaim(NOTICE)
        after(NOTICE.plus(RESTART)) { if (!engine.isUp) engine.restart() }
    }

    private fun crashService(index: Int) {
        fixture.services[index].crash()
        after(RESTART) { fixture.services[index].restart() }
    }

    private fun loseDomain(domain: Int) {
        val name = fixture.layout.domains[domain]
        fixture.engines.indices.filter { fixture.layout.domainOf(it) == name }.forEach(::crashEngine)
        fixture.services.indices.filter { fixture.layout.domainOf(it) == name }.forEach(::crashService)
    }

    private fun takeOutDomain(domain: Int) {
        val name = fixture.layout.domains[domain]
        if (fixture.store.faults.outage) return
        timer.execute { if (operator.takeOut(name)) after(OUT) { giveBack(name) } }
    }

    // Operators repeat a return that the store did not accept.
    private fun giveBack(domain: io.buckthornlever.api.process.FailureDomain) {
        if (!operator.giveBack(domain)) after(RETRY) { giveBack(domain) }
    }

    private fun storeOutage() {
        fixture.store.faults.outage = true
        after(OUTAGE) { fixture.store.faults.outage = false }
    }

    private fun storeSlow() {
        fixture.store.faults.delayMillis = STORE_DELAY_MILLIS
        after(OUTAGE) { fixture.store.faults.delayMillis = 0 }
    }

    private fun silence() {
        fixture.engines[random.nextInt(fixture.engines.size)].silenceOpenConnections()
        fixture.services[random.nextInt(fixture.services.size)].silenceOpenConnections()
    }

    // At least two thirds of the instances stay, as the balancer needs somewhere to send callers.
    private fun shutDownInstance() {
        if (shutdowns >= fixture.daemons.size / SHUTDOWN_DIVISOR) return
        val index = fixture.daemons.lastIndex - shutdowns
        shutdowns += 1
        events.closedInstances += index
        timer.execute { fixture.daemons[index].close() }
    }

    private fun after(
        delay: Duration,
        action: () -> Unit,
    ) {
        if (!timer.isShutdown) timer.schedule(action, delay.toMillis(), TimeUnit.MILLISECONDS)
    }

    private companion object {
        const val TIMER_THREADS = 4
        const val CLOSE_SECONDS = 30L
        const val COUNT = 3
        const val STORE_DELAY_MILLIS = 300L
        const val SHUTDOWN_DIVISOR = 3
        val RESTART: Duration = Duration.ofSeconds(2)
        val NOTICE: Duration = Duration.ofSeconds(4)
        val OUT: Duration = Duration.ofSeconds(5)
        val OUTAGE: Duration = Duration.ofSeconds(3)
        val RETRY: Duration = Duration.ofMillis(500)
    }
}
