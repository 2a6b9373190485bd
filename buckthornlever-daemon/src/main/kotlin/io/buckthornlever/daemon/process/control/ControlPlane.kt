package io.buckthornlever.daemon.process.control

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.onSuccess
import io.buckthornlever.api.process.Clock
import io.buckthornlever.api.process.Configuration
import io.buckthornlever.api.process.InstanceId
import io.buckthornlever.api.process.InstanceList
import io.buckthornlever.api.process.ObjectListing
import io.buckthornlever.api.process.ObjectStore
import io.buckthornlever.api.process.StoreError
import io.buckthornlever.core.process.configuration.ConfigurationCommand
import io.buckthornlever.core.process.configuration.ConfigurationEvent
import io.buckthornlever.core.process.configuration.ConfigurationSource
import io.buckthornlever.core.process.configuration.ConfigurationSync
import io.buckthornlever.core.process.configuration.ConfigurationValidator
import io.buckthornlever.core.process.configuration.PropagationWait
import io.buckthornlever.core.process.gossip.Fact
import io.buckthornlever.core.process.lease.LeaseEvent
import io.buckthornlever.core.process.lease.LeaseMachine
import io.buckthornlever.core.process.lease.LeasePermit
import io.buckthornlever.core.process.lease.LeaseState
import io.buckthornlever.core.process.membership.MemberAddress
import io.buckthornlever.core.process.membership.Membership
import io.buckthornlever.core.process.membership.MembershipCommand
import io.buckthornlever.core.process.membership.MembershipEvent
import io.buckthornlever.core.process.membership.Moment
import io.buckthornlever.core.process.membership.PeerMessage
import io.buckthornlever.core.process.membership.TableRevisions
import io.buckthornlever.peer.process.BulkMessage
import io.buckthornlever.peer.process.PeerCodec
import io.buckthornlever.peer.process.PeerCounters
import io.buckthornlever.peer.process.PeerHandler
import io.buckthornlever.peer.process.PeerIdentity
import io.buckthornlever.peer.process.PeerKeys
import io.buckthornlever.peer.process.PeerSockets
import java.time.Duration
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit
import kotlin.random.Random

/**
 * Membership, configuration and leases of one entry instance with their sockets and threads. State machines of the core module make
 * all decisions on one control thread; store and peer calls run on worker threads.
 *
 * @param keys returns the accepted peer keys; called for each message
 * @param onError receives unexpected errors of the control thread
 */
public class ControlPlane(
    private val settings: ControlSettings,
    keys: () -> PeerKeys,
    private val store: ObjectStore,
    private val instances: InstanceList?,
    private val clock: Clock,
    private val listener: ControlListener,
    onError: (Throwable) -> Unit,
) : AutoCloseable, PeerHandler {
    private class PendingWait(
        val wait: PropagationWait,
        val result: CompletableFuture<List<InstanceId>>,
    )

    private val incarnation = clock.now().toEpochMilli()

    /** Traffic counters of the peer protocol. */
    public val counters: PeerCounters = PeerCounters()
    private val codec = PeerCodec(PeerIdentity(settings.site, settings.id, incarnation), counters, keys = keys)
    private val sockets = PeerSockets(settings.host, settings.port, codec, counters, this)
    private val random = Random(settings.seed)
    private val workers = ControlWorkers(settings.id.value, onError)
    private val loop = ControlLoop("${settings.id}-control", clock, settings.membership.tick, ::tick, onError)
    private val leases = ConcurrentHashMap<String, LeaseDriver>()
    private val leaseMachine = LeaseMachine(settings.lease)
    private val pendingWaits = ArrayList<PendingWait>()
    private val opaqueHandlers = ConcurrentHashMap<String, (InstanceId, ByteArray) -> ByteArray>()
    private lateinit var membership: Membership
    private lateinit var sync: ConfigurationSync
    private var nextListNanos = Long.MIN_VALUE
    private var storeWasDown = false

    /** Address of this instance with the bound port; valid after [start]. */
    public lateinit var address: MemberAddress
        private set

    /** Live members including this instance, sorted by id; may be read on any thread. */
    @Volatile
    public var liveMembers: List<MemberAddress> = emptyList()
        private set

    /** Binds the sockets and starts all threads. */
    public fun start() {
        sockets.open()
        address = MemberAddress(settings.id, settings.host, sockets.port, settings.failureDomain)
        membership = Membership(address, incarnation, settings.membership, random)
        sync = ConfigurationSync(address, settings.configuration, ConfigurationValidator(), random, settings.initial)
        liveMembers = listOf(address)
        loop.post { now ->
            if (sync.configuration != Configuration()) onActivated(ConfigurationSource.SETTINGS, now)
            onLiveMembersChanged(now)
        }
        loop.start()
        sockets.start()
    }

    /** Tells the other members that this instance leaves. */
    public fun leave() {
        loop.call { now -> handleMembership(MembershipEvent.LeaveRequested, now) }
    }

    /** Starts competing for the lease [name]; [permit] tells whether this instance holds it. */
    public fun joinLease(name: String) {
        leases.computeIfAbsent(name) {
            LeaseDriver(name, LeaseState(settings.id, incarnation), leaseMachine, store, clock, listener, workers::run) { loop.post(it) }
        }
    }

    /** Returns a permit to issue one order under the lease [name] now, or null. Safe on any thread. */
    public fun permit(name: String, honoursFencing: Boolean): LeasePermit? = leases[name]?.permit(honoursFencing)

    /** Gives up the lease [name]; to be called once all orders under it have ended. */
    public fun resign(name: String) {
        loop.call { now -> leases[name]?.handle(LeaseEvent.ResignRequested, now) ?: Unit }
    }

    /** Spreads [fact] to all members. */
    public fun publish(fact: Fact) {
        loop.post { now -> handleMembership(MembershipEvent.Publish(fact), now) }
    }

    /** Returns the unexpired facts that this instance knows. */
    public fun facts(): List<Fact> = loop.call { membership.facts().all() }.orEmpty()

    /** Offers tables that an operator has just stored through this instance, so that they take effect without a store read. */
    public fun offerTables(tables: Configuration) {
        loop.call { now -> handleConfiguration(ConfigurationEvent.Offered(tables, ConfigurationSource.STORE), now) }
    }

    /** Reports that an open connection to [peer] makes no progress. */
    public fun reportSilentConnection(peer: InstanceId) {
        loop.post { now -> handleMembership(MembershipEvent.ConnectionSilent(peer), now) }
    }

    /** Waits until [target] is in effect on all live members; returns the members that still lag after [timeout], if any. */
    public fun awaitEffective(target: TableRevisions, timeout: Duration): List<InstanceId> {
        val result = CompletableFuture<List<InstanceId>>()
        val deadline = clock.monotonicNanos() + timeout.toNanos()
        loop.post { pendingWaits.add(PendingWait(PropagationWait(target, deadline), result)) }
        return result.completeOnTimeout(listOf(settings.id), timeout.toMillis() + GRACE_MILLIS, TimeUnit.MILLISECONDS).get()
    }

    /** Registers [handler] for messages of [kind] that other instances send with [request]; it runs on a peer thread. */
    public fun handleOpaque(kind: String, handler: (InstanceId, ByteArray) -> ByteArray) {
        opaqueHandlers[kind] = handler
    }

    /** Sends [body] to [to] and returns the response of its handler, or null when there is none within [timeout]. */
    public fun request(to: MemberAddress, kind: String, body: ByteArray, timeout: Duration): ByteArray? =
        sockets.request(to, BulkMessage.Opaque(kind, body), timeout).fold(
            success = { (it as? BulkMessage.Opaque)?.body },
            failure = { null },
        )

    /** Returns the current state, or null when the control thread does not respond in time. */
    public fun snapshot(): ControlSnapshot? =
        loop.call { now ->
            ControlSnapshot(
                own = membership.ownUpdate,
                members = membership.memberViews(now),
                revisions = sync.revisions,
                refusedRevisions = sync.refusedRevisions,
                watchesStore = sync.isWatcher,
                storeIsDown = sync.storeIsDown,
                facts = membership.facts().size,
                counters = membership.statistics,
                droppedEvents = loop.dropped,
            )
        }

    override fun close() {
        loop.close()
        workers.close()
        sockets.close()
    }

    override fun onDatagram(from: InstanceId, message: PeerMessage) {
        loop.post { now -> handleMembership(MembershipEvent.Received(from, message), now) }
    }

    override fun onRequest(from: InstanceId, request: BulkMessage): BulkMessage =
        when (request) {
            is BulkMessage.Check -> loop.call { BulkMessage.Alive }
            is BulkMessage.MemberPull -> loop.call {
                BulkMessage.MemberList(membership.allUpdates(), membership.facts().all().take(MAX_FACTS))
            }
            is BulkMessage.ConfigurationPull ->
                loop.call { BulkMessage.Tables(sync.deltaSince(request.since)) }?.let { fitToFrame(from, it) }
            is BulkMessage.Opaque -> opaqueHandlers[request.kind]?.let { BulkMessage.Opaque(request.kind, it(from, request.body)) }
            else -> null
        } ?: BulkMessage.Declined("not served")

    /** Omits tables until the response fits into a frame; the requester pulls the others later. */
    private fun fitToFrame(to: InstanceId, tables: BulkMessage.Tables): BulkMessage {
        val delta = tables.delta
        val choices = listOf(delta, delta.copy(accounts = null), delta.copy(accounts = null, routes = null), delta.copy(pools = null))
        return choices.map { BulkMessage.Tables(it) }.firstOrNull { codec.encodeFrame(to, it) != null }
            ?: BulkMessage.Declined("table exceeds the frame limit")
    }

    private fun tick(now: Moment) {
        handleMembership(MembershipEvent.Tick, now)
        handleConfiguration(ConfigurationEvent.Tick, now)
        // Only the few instances that watch the store compete for leases, so that store reads do not grow with the number of instances.
        leases.values.filter { sync.isWatcher || it.isInvolved }.forEach { it.handle(LeaseEvent.Tick, now) }
        stepWaits(now)
        readInstanceList(now)
    }

    private fun stepWaits(now: Moment) {
        val over = pendingWaits.filter { waiting ->
            val step = waiting.wait.step(membership, settings.id, sync.revisions, now)
            step.commands.forEach { execute(it, now) }
            if (step.isOver) waiting.result.complete(step.lagging)
            step.isOver
        }
        pendingWaits.removeAll(over)
    }

    private fun readInstanceList(now: Moment) {
        val list = instances ?: return
        if (now.nanos < nextListNanos) return
        nextListNanos = now.nanos + settings.instanceListInterval.toNanos()
        workers.run {
            list.instances().onSuccess { listed ->
                val seeds = listed.filter { it.peerPort > 0 && it.role == ENTRY_ROLE }
                    .map { MemberAddress(it.id, it.address, it.peerPort, it.failureDomain) }
                loop.post { later -> handleMembership(MembershipEvent.SeedsListed(seeds), later) }
            }
        }
    }

    private fun handleMembership(event: MembershipEvent, now: Moment) {
        var changed = false
        for (command in membership.handle(event, now)) {
            changed = changed || (command is MembershipCommand.MemberChanged && command.previous?.isLive != command.update.state.isLive)
            execute(command, now)
        }
        if (changed) onLiveMembersChanged(now)
    }

    private fun onLiveMembersChanged(now: Moment) {
        liveMembers = (membership.liveAddresses() + address).sortedBy { it.id }
        handleConfiguration(ConfigurationEvent.LiveChanged(liveMembers), now)
    }

    private fun execute(command: MembershipCommand, now: Moment) {
        when (command) {
            is MembershipCommand.Send -> sockets.send(command.to, command.message)
            is MembershipCommand.PullMembers -> workers.run { pullMembers(command.from) }
            is MembershipCommand.TestConnection -> workers.test {
                val evidence = sockets.testConnection(command.to, TEST_TIMEOUT)
                loop.post { later -> handleMembership(MembershipEvent.ConnectionTested(command.to.id, evidence), later) }
            }

            is MembershipCommand.MemberChanged -> listener.onMemberChanged(command.update, command.previous)
            is MembershipCommand.FactChanged -> listener.onFactChanged(command.fact)
            is MembershipCommand.RevisionsHeard ->
                handleConfiguration(ConfigurationEvent.RevisionsHeard(command.from, command.revisions), now)
            is MembershipCommand.PauseDetected -> listener.onPause(command.length)
        }
    }

    private fun pullMembers(from: MemberAddress) {
        sockets.request(from, BulkMessage.MemberPull, PULL_TIMEOUT).onSuccess { response ->
            if (response is BulkMessage.MemberList) {
                loop.post { now -> handleMembership(MembershipEvent.MembersReceived(response.updates, response.facts), now) }
            }
        }
    }

    private fun handleConfiguration(event: ConfigurationEvent, now: Moment) {
        sync.handle(event, now).forEach { execute(it, now) }
    }

    private fun execute(command: ConfigurationCommand, now: Moment) {
        when (command) {
            ConfigurationCommand.ListTables -> readStore { store.list(StoreTables.PREFIX) }
            is ConfigurationCommand.WatchTables -> readStore { store.watch(StoreTables.PREFIX, command.since, WATCH_WAIT) }
            is ConfigurationCommand.PullTables -> workers.run { pullTables(command.from, command.since) }
            is ConfigurationCommand.Activate -> onActivated(command.source, now)
            is ConfigurationCommand.Refused -> listener.onRefused(command.revisions, command.findings)
        }
    }

    private fun onActivated(source: ConfigurationSource, now: Moment) {
        listener.onActivated(sync.configuration, source)
        handleMembership(MembershipEvent.RevisionsChanged(sync.revisions), now)
    }

    private fun pullTables(from: MemberAddress, since: TableRevisions) {
        val response = sockets.request(from, BulkMessage.ConfigurationPull(since), PULL_TIMEOUT).fold(success = { it }, failure = { null })
        val event = if (response is BulkMessage.Tables) {
            ConfigurationEvent.DeltaReceived(from.id, response.delta)
        } else {
            ConfigurationEvent.PullFailed(from.id)
        }
        loop.post { now -> handleConfiguration(event, now) }
    }

    /** Reports an unexpected error as a failed call, so that reads continue: the next read follows the result of this one. */
    private fun readStore(call: () -> Result<ObjectListing, StoreError>) =
        workers.watch {
            try {
                report(call())
            } catch (e: RuntimeException) {
                report(Err(StoreError.Unavailable(e.toString())))
            }
        }

    private fun report(result: Result<ObjectListing, StoreError>) {
        val event = result.fold(
            success = { listing ->
                val tables = StoreTables.read(listing.objects)
                if (tables.findings.isNotEmpty()) loop.post { listener.onRefused(TableRevisions(), tables.findings) }
                ConfigurationEvent.StoreAnswered(listing.revision, tables.configuration)
            },
            failure = { ConfigurationEvent.StoreFailed },
        )
        loop.post { now ->
            handleConfiguration(event, now)
            if (sync.storeIsDown != storeWasDown) {
                storeWasDown = sync.storeIsDown
                listener.onStoreAvailabilityChanged(!storeWasDown)
            }
        }
    }

    private companion object {
        const val ENTRY_ROLE = "entry"
        const val MAX_FACTS = 5_000
        const val GRACE_MILLIS = 500L

        val PULL_TIMEOUT: Duration = Duration.ofMillis(1_500)
        val TEST_TIMEOUT: Duration = Duration.ofSeconds(1)
        val WATCH_WAIT: Duration = Duration.ofSeconds(10)
    }
}
