package io.buckthornlever.bench.process.control

import com.github.michaelbull.result.get
import io.buckthornlever.api.process.Configuration
import io.buckthornlever.api.process.ObjectVersion
import io.buckthornlever.core.process.configuration.ConfigurationCommand
import io.buckthornlever.core.process.configuration.ConfigurationEvent
import io.buckthornlever.core.process.configuration.ConfigurationSettings
import io.buckthornlever.core.process.configuration.ConfigurationSync
import io.buckthornlever.core.process.configuration.ConfigurationValidator
import io.buckthornlever.core.process.membership.ConnectionEvidence
import io.buckthornlever.core.process.membership.MemberAddress
import io.buckthornlever.core.process.membership.MemberState
import io.buckthornlever.core.process.membership.Membership
import io.buckthornlever.core.process.membership.MembershipCommand
import io.buckthornlever.core.process.membership.MembershipEvent
import io.buckthornlever.core.process.membership.MembershipSettings
import io.buckthornlever.core.process.membership.Moment
import io.buckthornlever.peer.process.BulkMessage
import io.buckthornlever.peer.process.PeerCodec
import io.buckthornlever.peer.process.PeerCounters
import io.buckthornlever.peer.process.PeerIdentity
import java.time.Duration
import kotlin.random.Random

/** State machines of one entry instance with the real codec; the [cluster] carries the messages. */
internal class ControlNode(
    val address: MemberAddress,
    incarnation: Long,
    private val cluster: ControlCluster,
    settings: MembershipSettings,
    initial: Configuration,
) {
    private val random = Random(cluster.seed * PRIME + address.port + incarnation)
    private val wallOffsetMillis = random.nextLong(-MAX_WALL_OFFSET_MILLIS, MAX_WALL_OFFSET_MILLIS)
    val codec = PeerCodec(PeerIdentity(SITE, address.id, incarnation), PeerCounters()) { cluster.keys }
    val membership = Membership(address, incarnation, settings, random)
    val sync = ConfigurationSync(address, ConfigurationSettings(), ConfigurationValidator(), random, initial)
    var isUp = true
    var datagrams = 0L
    var bytes = 0L
    var highest = sync.revisions
    var reverted = false

    fun now(): Moment {
        val moment = Moment.of(cluster.queue.clock)
        return moment.copy(wallMillis = moment.wallMillis + wallOffsetMillis)
    }

    fun start(tick: Duration) {
        membership(MembershipEvent.RevisionsChanged(sync.revisions))
        cluster.queue.afterNanos(random.nextLong(tick.toNanos())) { tick(tick) }
    }

    private fun tick(period: Duration) {
        if (!isUp) return
        membership(MembershipEvent.Tick)
        if (cluster.withConfiguration) configuration(ConfigurationEvent.Tick)
        cluster.queue.after(period) { tick(period) }
    }

    fun membership(event: MembershipEvent) {
        if (!isUp) return
        var changed = false
        for (command in membership.handle(event, now())) {
            changed = changed || (command is MembershipCommand.MemberChanged && command.previous?.isLive != command.update.state.isLive)
            execute(command)
        }
        if (changed && cluster.withConfiguration) configuration(ConfigurationEvent.LiveChanged(membership.liveAddresses() + address))
    }

    fun configuration(event: ConfigurationEvent) {
        if (!isUp) return
        sync.handle(event, now()).forEach { execute(it) }
        if (sync.revisions.isBehind(highest)) reverted = true
        highest = highest.merge(sync.revisions)
    }

    private fun execute(command: MembershipCommand) {
        when (command) {
            is MembershipCommand.Send -> send(command)
            is MembershipCommand.PullMembers -> pull(command.from, BulkMessage.MemberPull)
            is MembershipCommand.RevisionsHeard ->
                if (cluster.withConfiguration) configuration(ConfigurationEvent.RevisionsHeard(command.from, command.revisions))

            is MembershipCommand.TestConnection -> cluster.queue.after(CONNECT_TIMEOUT) {
                membership(MembershipEvent.ConnectionTested(command.to.id, ConnectionEvidence.TIMED_OUT))
            }.takeIf { cluster.find(command.to.id)?.isUp != true }

            is MembershipCommand.MemberChanged -> if (command.update.state ==
                MemberState.DEAD
            ) {
                cluster.declaredDead(command.update.address.id)
            }
            is MembershipCommand.FactChanged, is MembershipCommand.PauseDetected -> Unit
        }
    }

    private fun send(command: MembershipCommand.Send) {
        val sealed = checkNotNull(codec.encodeDatagram(command.to.id, command.message)) { "datagram exceeds the limit" }
        datagrams++
        bytes += sealed.size
        cluster.transmit(address.id, command.to.id) { target ->
            target.codec.decodeDatagram(sealed).get()?.let { target.membership(MembershipEvent.Received(it.from, it.message)) }
        }
    }

    /** A request over TCP: it arrives unless the peer is down or cut off. */
    private fun pull(from: MemberAddress, request: BulkMessage) {
        cluster.exchange(address.id, from.id) { source ->
            val asked = checkNotNull(codec.encodeFrame(from.id, request))
            val answer = checkNotNull(source.codec.encodeFrame(address.id, source.answer(request))) { "frame exceeds the limit" }
            bytes += asked.size
            source.bytes += answer.size
            answered(from, checkNotNull(codec.decodeFrame(answer).get()).message)
        }
    }

    private fun answer(request: BulkMessage): BulkMessage =
        when (request) {
            is BulkMessage.ConfigurationPull -> BulkMessage.Tables(sync.deltaSince(request.since))
            else -> BulkMessage.MemberList(membership.allUpdates(), membership.facts().all())
        }

    private fun answered(from: MemberAddress, answer: BulkMessage) {
        when (answer) {
            is BulkMessage.MemberList -> membership(MembershipEvent.MembersReceived(answer.updates, answer.facts))
            is BulkMessage.Tables -> configuration(ConfigurationEvent.DeltaReceived(from.id, answer.delta))
            else -> Unit
        }
    }

    private fun execute(command: ConfigurationCommand) {
        when (command) {
            ConfigurationCommand.ListTables -> cluster.store.list { answered(it?.first, it?.second) }
            is ConfigurationCommand.WatchTables -> cluster.store.watch(command.since) { answered(it?.first, it?.second) }
            is ConfigurationCommand.PullTables -> pull(command.from, BulkMessage.ConfigurationPull(command.since))
            is ConfigurationCommand.Activate -> membership(MembershipEvent.RevisionsChanged(sync.revisions))
            is ConfigurationCommand.Refused -> Unit
        }
    }

    private fun answered(revision: ObjectVersion?, tables: Configuration?) {
        val event = if (revision == null ||
            tables == null
        ) {
            ConfigurationEvent.StoreFailed
        } else {
            ConfigurationEvent.StoreAnswered(revision, tables)
        }
        configuration(event)
    }

    companion object {
        const val SITE = "pecan-row"
        private const val PRIME = 1_000_003L
        private const val MAX_WALL_OFFSET_MILLIS = 200L
        private val CONNECT_TIMEOUT: Duration = Duration.ofSeconds(2)
    }
}
