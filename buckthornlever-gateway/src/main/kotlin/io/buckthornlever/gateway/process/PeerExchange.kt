package io.buckthornlever.gateway.process

import com.github.michaelbull.result.getOrElse
import io.buckthornlever.api.process.Clock
import io.buckthornlever.api.serving.InstanceRecord
import io.buckthornlever.core.serving.LeaseCandidates
import io.buckthornlever.core.serving.LiveInstances
import io.buckthornlever.gateway.connection.ServerAddress
import io.netty.bootstrap.Bootstrap
import io.netty.buffer.ByteBufUtil
import io.netty.buffer.Unpooled
import io.netty.buffer.UnpooledByteBufAllocator
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoop
import io.netty.channel.FixedRecvByteBufAllocator
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.DatagramPacket
import io.netty.channel.socket.nio.NioDatagramChannel
import java.net.InetSocketAddress
import java.time.Duration
import java.util.concurrent.TimeUnit

/**
 * Exchanges datagrams with the other instances. Each instance sends its state to the holder of the duty lease, and the holder
 * sends an overview to all instances, so that the traffic of an ordinary instance does not grow with the size of the site. The
 * holder's incoming traffic is bounded by an interval that grows with the number of instances.
 */
internal class PeerExchange(
    private val loop: EventLoop,
    private val clock: Clock,
    private val self: String,
    private val localInstance: LocalInstance,
    private val log: EventLog,
) {
    private val addresses = HashMap<String, InetSocketAddress>()
    private val records = HashMap<String, InstanceRecord>()
    private val liveInstances = LiveInstances()
    private var overviewSender: String? = null
    private var overviewFencing = Long.MIN_VALUE
    private var overviewReceivedAt = Long.MIN_VALUE / 2
    private var overviewSentAt = Long.MIN_VALUE / 2
    private var hasReported = false
    private var unreadableLoggedAt = Long.MIN_VALUE / 2
    private var channel: Channel? = null

    /** Interval between two state messages of an instance. */
    val interval: Duration get() = Duration.ofMillis(maxOf(MIN_INTERVAL_MILLIS, addresses.size * INTERVAL_MILLIS_PER_INSTANCE))

    /** Number of the other instances that are registered, whether they are alive or not. */
    val registeredCount: Int get() = records.size

    /** Names of the other instances that are alive. */
    fun liveNames(): Set<String> = liveInstances.live(localInstance.holdsDutyLease(), clock.monotonicNanos())

    fun start(address: ServerAddress) {
        val bound =
            Bootstrap()
                .group(loop)
                .channel(NioDatagramChannel::class.java)
                .option(ChannelOption.ALLOCATOR, UnpooledByteBufAllocator(false))
                // Netty reads 2,048 bytes of a datagram by default and drops the rest.
                .option(ChannelOption.RCVBUF_ALLOCATOR, FixedRecvByteBufAllocator(MAX_DATAGRAM_BYTES))
                .handler(Receiver())
                .bind(address.host, address.port)
        bound.addListener { if (it.isSuccess) channel = bound.channel() }
        loop.schedule({ sendPeriodically() }, MIN_INTERVAL_MILLIS, TimeUnit.MILLISECONDS)
    }

    /** Records of the instances in [liveNames]. */
    fun liveRecords(): Set<InstanceRecord> = liveNames().mapNotNullTo(HashSet(), records::get)

    /** Record of the registered instance [name], null if it is not registered. */
    fun recordOf(name: String): InstanceRecord? = records[name]

    fun addPeer(record: InstanceRecord) {
        if (record.name == self) return
        records[record.name] = record
        addresses[record.name] = InetSocketAddress(record.host, record.peerPort)
        liveInstances.onHeard(record.name, clock.monotonicNanos())
    }

    fun removePeer(name: String) {
        addresses.remove(name)
        records.remove(name)
        liveInstances.remove(name)
    }

    /** Sends [message] to the instance [name]; returns false if the instance is unknown or the socket is not bound yet. */
    fun send(
        name: String,
        message: PeerMessage,
    ): Boolean {
        val address = addresses[name] ?: return false
        val openChannel = channel ?: return false
        openChannel.writeAndFlush(DatagramPacket(Unpooled.wrappedBuffer(encode(message)), address))
        return true
    }

    /** Sends [message] to all other instances. */
    fun broadcast(message: PeerMessage) {
        val openChannel = channel ?: return
        val bytes = encode(message)
        for (address in addresses.values) openChannel.write(DatagramPacket(Unpooled.wrappedBuffer(bytes), address))
        openChannel.flush()
    }

    /** Name of the instance that holds the duty lease; null if it is this one or has been silent for too long. */
    fun leaseHolder(): String? =
        overviewSender?.takeIf { !localInstance.holdsDutyLease() && clock.monotonicNanos() - overviewReceivedAt <= HOLDER_SILENCE_NANOS }

    /** Sends this instance's state to the lease holder, or the overview to all instances if this instance holds the lease. */
    fun sendNow() {
        if (localInstance.holdsDutyLease()) return broadcastOverview()
        leaseHolder()?.let { send(it, localInstance.state()) }
    }

    private fun broadcastOverview() {
        val now = clock.monotonicNanos()
        if (addresses.isEmpty() || now - overviewSentAt < MIN_INTERVAL_MILLIS * NANOS_PER_MILLI / 2) return
        overviewSentAt = now
        broadcast(localInstance.overview(addresses.keys - liveNames()))
        sendHolderStatus()
    }

    private fun sendHolderStatus() {
        val status = localInstance.holderStatus() ?: return
        val live = liveNames() + self
        live.filter { it != self && LeaseCandidates.includes(it, live - it) }.forEach { send(it, status) }
    }

    private fun sendPeriodically() {
        sendNow()
        val nextInterval = if (localInstance.holdsDutyLease()) minOf(interval, MAX_OVERVIEW_INTERVAL) else interval
        loop.schedule({ sendPeriodically() }, nextInterval.toMillis(), TimeUnit.MILLISECONDS)
    }

    private fun encode(message: PeerMessage): ByteArray {
        val bytes = CborCodec.encode(PeerMessage.serializer(), message)
        if (bytes.size > MAX_DATAGRAM_BYTES) {
            log.write(GatewayEvent.DATAGRAM_TOO_LARGE, "type" to message::class.simpleName, "bytes" to bytes.size)
        }
        return bytes
    }

    private fun onOverview(overview: PeerMessage.Overview) {
        if (overview.fencing < overviewFencing) return
        val isNewHolder = overview.sender != overviewSender || overview.fencing != overviewFencing
        overviewFencing = overview.fencing
        overviewSender = overview.sender
        overviewReceivedAt = clock.monotonicNanos()
        liveInstances.updateSilent(overview.silent - self)
        localInstance.onMessage(overview)
        // A new holder has no state of this instance yet.
        if (isNewHolder || !hasReported) send(overview.sender, localInstance.state())
        hasReported = true
    }

    private inner class Receiver : SimpleChannelInboundHandler<DatagramPacket>() {
        override fun channelRead0(
            context: ChannelHandlerContext,
            packet: DatagramPacket,
        ) {
            val message =
                CborCodec.decode(PeerMessage.serializer(), ByteBufUtil.getBytes(packet.content())).getOrElse {
                    return logUnreadable(packet, it)
                }
            if (message.sender == self || message.sender !in addresses) return
            liveInstances.onHeard(message.sender, clock.monotonicNanos())
            if (message is PeerMessage.Overview) onOverview(message) else localInstance.onMessage(message)
        }
    }

    private fun logUnreadable(
        packet: DatagramPacket,
        cause: String,
    ) {
        val now = clock.monotonicNanos()
        if (now - unreadableLoggedAt < UNREADABLE_LOG_INTERVAL.toNanos()) return
        unreadableLoggedAt = now
        val content = packet.content()
        log.write(
            GatewayEvent.DATAGRAM_IGNORED,
            "from" to packet.sender(),
            "bytes" to content.readableBytes(),
            "limit" to content.capacity(),
            "cause" to cause,
        )
    }

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000L

        /** Largest payload of a UDP datagram over IPv4. */
        const val MAX_DATAGRAM_BYTES = 65_507

        /** Short enough for the lease holder to act on demand and usage in time. */
        const val MIN_INTERVAL_MILLIS = 250L

        /** Limits the lease holder to 200 state messages per second on large sites. */
        const val INTERVAL_MILLIS_PER_INSTANCE = 5L

        /** Shorter than the time for which instances rely on an announcement that another one holds the lease. */
        val MAX_OVERVIEW_INTERVAL: Duration = Duration.ofMillis(700)

        /** Anyone can send datagrams, so the log gets at most one line for them in this time. */
        val UNREADABLE_LOG_INTERVAL: Duration = Duration.ofSeconds(1)

        /** Silence of the lease holder after which an instance stops sending its state, until it hears from a holder again. */
        const val HOLDER_SILENCE_NANOS = 5_000_000_000L
    }
}
