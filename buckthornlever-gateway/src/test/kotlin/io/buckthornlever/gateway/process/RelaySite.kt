package io.buckthornlever.gateway.process

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.buckthornlever.api.process.FailureDomain
import io.buckthornlever.api.process.SystemClock
import io.buckthornlever.api.serving.InstanceRecord
import io.buckthornlever.api.serving.StateChange
import io.buckthornlever.api.serving.StateChanges
import io.buckthornlever.api.serving.StateFailure
import io.buckthornlever.api.serving.StateKind
import io.buckthornlever.api.serving.StateObject
import io.buckthornlever.api.serving.StatePage
import io.buckthornlever.api.serving.StateStore
import io.buckthornlever.core.serving.RelayLog
import io.buckthornlever.gateway.connection.CallerListener
import io.buckthornlever.gateway.connection.ServerAddress
import io.buckthornlever.gateway.connection.TestLimits
import io.netty.channel.EventLoop
import io.netty.channel.nio.NioEventLoopGroup
import java.time.Duration
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong

/**
 * Instances that follow one store over loopback as a gateway does, each with its own event loop. Any of them can be killed, frozen or
 * cut off from the store; `i0` is the relay of all. The store answers after 4 ms and can be unavailable.
 */
internal class RelaySite(
    size: Int,
) : AutoCloseable {
    private val group = NioEventLoopGroup(size)
    private val content = StoreContent()
    val instances: List<SiteInstance>

    /** Refuses the calls of all instances. */
    @Volatile
    var isStoreAway = false

    init {
        val domain = FailureDomain("a")
        instances = List(size) { SiteInstance("i$it", group.next()) }
        val records =
            instances.mapIndexed { index, one -> InstanceRecord(one.name, "127.0.0.1", one.listen(), domain, (size - index).toDouble()) }
        StateKind.entries.forEach { content.change(it, "first") }
        instances.forEachIndexed { index, one -> one.start(records[index], records - records[index]) }
    }

    /** Runs the site for [millis] with some changes a second, and returns the calls to the store of each instance in that time. */
    fun run(millis: Long): Map<String, Long> {
        val before = instances.associate { it.name to it.calls() }
        val end = System.nanoTime() + millis * NANOS_PER_MILLI
        var step = 0
        while (System.nanoTime() < end) {
            if (step % STEPS_PER_CHANGE == 0) content.change(CHANGED_KINDS[step / STEPS_PER_CHANGE % CHANGED_KINDS.size], "x$step")
            step++
            instances.forEach { it.sampleAge() }
            Thread.sleep(STEP_MILLIS)
        }
        return instances.associate { it.name to it.calls() - before.getValue(it.name) }
    }

    override fun close() {
        instances.forEach { it.isDead = true }
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS)
    }

    /** One instance: its feeds, and its relay for the others. */
    inner class SiteInstance(
        val name: String,
        val loop: EventLoop,
    ) {
        private val metrics = GatewayMetrics()
        private val counter = StoreCallCounter(metrics)
        private val logs = FollowedKinds.ALL.associateWith { RelayLog(RelayWaits.maxAge(it)) }
        private val relay = RelayService(loop, SystemClock, logs, { true }) { }
        private val listener = CallerListener(loop, relay, SystemClock, TestLimits.on(loop))

        val storeCalls = AtomicLong()

        @Volatile
        private var confirmedAt = System.nanoTime()

        /** Largest age of the serving table since the last [resetAge]. */
        @Volatile
        var maxAge: Duration = Duration.ZERO
            private set

        @Volatile
        var isDead = false

        /** Calls to the store get no answer within the time that its client allows. */
        @Volatile
        var isCutOff = false

        /** Connections to `i0` are refused. */
        @Volatile
        var isRelayUnreachable = false

        fun listen(): Int = listener.listen(ServerAddress("127.0.0.1", 0))

        fun start(
            record: InstanceRecord,
            others: List<InstanceRecord>,
        ) {
            val store = SiteStore(this)
            val relayed =
                RelayedStore(
                    CountedStore(store, counter, StoreCallCause.FOLLOWED_STATE),
                    CountedStore(store, counter, StoreCallCause.RELAY_FALLBACK),
                    record,
                    { if (isRelayUnreachable) others.map { if (it.name == "i0") it.copy(peerPort = CLOSED_PORT) else it } else others },
                    loop,
                    SystemClock,
                    EventLog(name),
                )
            loop.execute {
                for (kind in FollowedKinds.ALL) {
                    StateFeed(kind, WATCH_WAIT, Duration.ZERO, relayed, loop, SystemClock, Listener(kind)).start()
                }
                tick()
            }
        }

        fun kill() {
            isDead = true
            loop.execute(listener::close)
        }

        fun freeze(millis: Long) = loop.execute { Thread.sleep(millis) }

        /** Calls to the store so far. Read on another thread, since the loop may be frozen. */
        fun calls(): Long = storeCalls.get()

        fun summary(): String = counter.summary()

        fun sampleAge() {
            val age = Duration.ofNanos(System.nanoTime() - confirmedAt)
            if (age > maxAge) maxAge = age
        }

        fun resetAge() {
            maxAge = Duration.ZERO
        }

        private fun tick() {
            relay.tick()
            if (!isDead) loop.schedule({ tick() }, TICK_MILLIS, TimeUnit.MILLISECONDS)
        }

        private inner class Listener(
            private val followedKind: StateKind,
        ) : StateFeedListener {
            override fun onChanged(
                kind: StateKind,
                changed: StateObject,
            ) = logs.getValue(kind).onChanged(changed)

            override fun onChangeFailed(
                kind: StateKind,
                changed: StateObject,
                cause: Throwable,
            ) = Unit

            override fun onStepFailed(
                kind: StateKind,
                cause: Throwable,
            ) = Unit

            override fun onTombstone(
                kind: StateKind,
                name: String,
            ) = logs.getValue(kind).onDeleted(name)

            override fun onDeleted(
                kind: StateKind,
                name: String,
            ) = Unit

            override fun onAnswered(
                kind: StateKind,
                sentNanos: Long,
            ) = Unit

            override fun onSynchronised(
                asOfNanos: Long,
                revision: Long,
            ) {
                if (followedKind == StateKind.SERVING_TABLE) confirmedAt = maxOf(confirmedAt, asOfNanos)
                if (logs.getValue(followedKind).onSynchronised(revision, asOfNanos)) relay.onChanged(followedKind)
            }

            override fun onFailed(
                kind: StateKind,
                failure: StateFailure,
            ) = Unit

            override fun onHistoryGone(kind: StateKind) = Unit
        }
    }

    /** The store as [instance] reaches it. */
    private inner class SiteStore(
        private val instance: SiteInstance,
    ) : StateStore by InMemoryStore() {
        override fun list(
            kind: StateKind,
            after: String?,
            stale: Boolean,
            done: (Result<StatePage, StateFailure>) -> Unit,
        ) = call {
            if (isFailing(Duration.ZERO, done)) return@call
            val changes = content.since(kind, 0)
            done(Ok(StatePage(changes.changes.map { it.changed }, false, changes.revision)))
        }

        override fun watch(
            kind: StateKind,
            since: Long,
            wait: Duration,
            done: (Result<StateChanges, StateFailure>) -> Unit,
        ) {
            val end = System.nanoTime() + wait.toNanos()
            call { poll(kind, since, end, wait, done) }
        }

        private fun call(action: () -> Unit) {
            instance.storeCalls.incrementAndGet()
            later(LATENCY_MILLIS, action)
        }

        private fun poll(
            kind: StateKind,
            since: Long,
            end: Long,
            wait: Duration,
            done: (Result<StateChanges, StateFailure>) -> Unit,
        ) {
            if (isFailing(wait, done)) return
            val changes = content.since(kind, since)
            if (changes.changes.isNotEmpty() || System.nanoTime() >= end) return done(Ok(changes))
            later(POLL_MILLIS) { poll(kind, since, end, wait, done) }
        }

        private fun <T> isFailing(
            wait: Duration,
            done: (Result<T, StateFailure>) -> Unit,
        ): Boolean {
            if (isStoreAway) done(Err(StateFailure.Refused("HTTP status 503")))
            if (isCutOff()) later(wait.toMillis() + CALL_TIMEOUT_MILLIS) { done(Err(StateFailure.Unknown("no answer"))) }
            return isStoreAway || isCutOff()
        }

        private fun isCutOff() = instance.isCutOff

        private fun later(
            millis: Long,
            action: () -> Unit,
        ) {
            if (!instance.isDead) instance.loop.schedule({ if (!instance.isDead) action() }, millis, TimeUnit.MILLISECONDS)
        }
    }

    private class StoreContent {
        private val changes = CopyOnWriteArrayList<Pair<StateKind, StateObject>>()

        @Volatile
        private var revision = 0L

        fun change(
            kind: StateKind,
            name: String,
        ) {
            changes.add(kind to StateObject(name, revision + 1, null))
            revision++
        }

        fun since(
            kind: StateKind,
            since: Long,
        ): StateChanges {
            val current = revision
            val found = changes.filter { (changedKind, item) -> changedKind == kind && item.revision in since + 1..current }
            return StateChanges(found.map { StateChange(it.second, false) }, current)
        }
    }

    companion object {
        private const val NANOS_PER_MILLI = 1_000_000L
        private const val CLOSED_PORT = 1
        private const val TICK_MILLIS = 200L
        private const val LATENCY_MILLIS = 4L
        private const val POLL_MILLIS = 10L
        private const val STEP_MILLIS = 20L

        /** A change each 0.9 s: so rare that most watches end without one, so that a relay that follows another one has old content. */
        private const val STEPS_PER_CHANGE = 45

        /** As the client of the platform's store. */
        private const val CALL_TIMEOUT_MILLIS = 900L
        private val WATCH_WAIT = Duration.ofSeconds(6)
        private val CHANGED_KINDS = listOf(StateKind.UPSTREAMS, StateKind.SERVING_TABLE)
    }
}
