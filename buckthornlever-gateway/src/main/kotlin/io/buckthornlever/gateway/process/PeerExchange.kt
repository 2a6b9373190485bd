package io.buckthornlever.gateway.process

import com.github.michaelbull.result.getOrElse
import io.buckthornlever.api.process.Clock
import io.buckthornlever.api.serving.InstanceRecord
import io.buckthornlever.core.serving.LeaseCandidates
import io.buckthornlever.core.serving.LiveInstances
import io.buckthornlever.core.serving.SenderLimiter
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
    settings: GatewaySettings,
    private val localInstance: LocalInstance,
    private val log: EventLog,
    metrics: GatewayMetrics,
) {
    private val self = settings.instance
    private val limiter = SenderLimiter<InetSocketAddress>(settings.senderBytesPerSecond)
    private val addresses = HashMap<String, InetSocketAddress>()
    private val records = HashMap<String, InstanceRecord>()
    private val liveInstances = LiveInstances()
    private var overviewSender: String? = null
    private var overviewFencing = Long.MIN_VALUE
    private var overviewReceivedAt = Long.MIN_VALUE / 2
    private var overviewSentAt = Long.MIN_VALUE / 2
    private var hasReported = false
    private var unreadableLoggedAt = Long.MIN_VALUE / 2
    private var limitedLoggedAt = Long.MIN_VALUE / 2
    private var channel: Channel? = null

    init {
        metrics.registerGauge("buckthornlever_datagrams_limited", "Datagrams ignored since their senders had sent too much") {
            limiter.limitedCount.toDouble()
        }
    }

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
        val address = InetSocketAddress(record.host, record.peerPort)
        val before = addresses.put(record.name, address)
        if (before != null && before != address) limiter.unregister(before)
        limiter.register(address)
        liveInstances.onHeard(record.name, clock.monotonicNanos())
    }

    fun removePeer(name: String) {
        addresses.remove(name)?.let(limiter::unregister)
        records.remove(name)
        liveInstances.remove(name)
    }

    /** Version of [PeerProtocol] that the instance [name] states in its registration. */
    fun versionOf(name: String): Int = records[name]?.protocol ?: PeerProtocol.UNSTATED

    /**
     * Sends [message] to the instance [name]; returns false if the instance is unknown or does not know such messages, or if the socket
     * is not bound yet.
     */
    fun send(
        name: String,
        message: PeerMessage,
    ): Boolean {
        val address = addresses[name] ?: return false
        val openChannel = channel ?: return false
        val bytes = encode(message, versionOf(name)) ?: return false
        openChannel.writeAndFlush(DatagramPacket(Unpooled.wrappedBuffer(bytes), address))
        return true
    }

    /** Sends [message] to all other instances. */
    fun broadcast(message: PeerMessage) {
        val openChannel = channel ?: return
        for ((version, names) in addresses.keys.groupBy(::versionOf)) {
            val bytes = encode(message, version) ?: continue
            for (name in names) openChannel.write(DatagramPacket(Unpooled.wrappedBuffer(bytes), addresses.getValue(name)))
        }
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

    /** Names of the instances that are candidates for the duty lease, as far as this instance knows. */
    fun leaseCandidates(): Set<String> = LeaseCandidates.of(liveRecords() + localInstance.record)

    private fun sendHolderStatus(): Unit = sendToCandidates(localInstance.holderStatus())

    /** Sends [messages] to the other candidates for the duty lease. */
    fun sendToCandidates(messages: List<PeerMessage>) {
        for (candidate in leaseCandidates() - self) messages.forEach { send(candidate, it) }
    }

    private fun sendPeriodically() {
        sendNow()
        val nextInterval = if (localInstance.holdsDutyLease()) minOf(interval, MAX_OVERVIEW_INTERVAL) else interval
        loop.schedule({ sendPeriodically() }, nextInterval.toMillis(), TimeUnit.MILLISECONDS)
    }

    private fun encode(
        message: PeerMessage,
        version: Int,
    ): ByteArray? {
        val bytes = PeerProtocol.encode(message, version) ?: return null
        if (bytes.size > MAX_DATAGRAM_BYTES) {
            log.write(GatewayEvent.DATAGRAM_TOO_LARGE, "type" to message::class.simpleName, "bytes" to bytes.size)
        }
        return bytes
    }

    private fun onOverview(
        overview: PeerMessage.Overview,
        version: Int,
    ) {
        if (overview.fencing < overviewFencing) return
        val isNewHolder = overview.sender != overviewSender || overview.fencing != overviewFencing
        overviewFencing = overview.fencing
        overviewSender = overview.sender
        val now = clock.monotonicNanos()
        val wasSilent = now - overviewReceivedAt > HOLDER_PAUSE_NANOS
        overviewReceivedAt = now
        liveInstances.updateSilent(overview.silent - self)
        localInstance.onMessage(overview, version)
        // A new holder has no state of this instance yet, and one that was out of reach may wait for the newest.
        if (isNewHolder || wasSilent || !hasReported) localInstance.completeState().forEach { send(overview.sender, it) }
        hasReported = true
    }

    private inner class Receiver : SimpleChannelInboundHandler<DatagramPacket>() {
        override fun channelRead0(
            context: ChannelHandlerContext,
            packet: DatagramPacket,
        ) {
            val isAdmitted = limiter.admits(packet.sender(), packet.content().readableBytes(), clock.monotonicNanos())
            if (!isAdmitted) return logLimited(packet)
            val (version, message) =
                PeerProtocol.decode(ByteBufUtil.getBytes(packet.content())).getOrElse {
                    return logUnreadable(packet, it)
                }
            if (message.sender == self || message.sender !in addresses) return
            liveInstances.onHeard(message.sender, clock.monotonicNanos())
            if (message is PeerMessage.Overview) onOverview(message, version) else localInstance.onMessage(message, version)
        }
    }

    private fun logLimited(packet: DatagramPacket) {
        val now = clock.monotonicNanos()
        if (now - limitedLoggedAt < UNREADABLE_LOG_INTERVAL.toNanos()) return
        limitedLoggedAt = now
        log.write(GatewayEvent.DATAGRAMS_LIMITED, "from" to packet.sender(), "total" to limiter.limitedCount)
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

        /** Several intervals of the overviews; a link that fails for longer has lost states, too. */
        const val HOLDER_PAUSE_NANOS = 2_000_000_000L

        /** Silence of the lease holder after which an instance stops sending its state, until it hears from a holder again. */
        const val HOLDER_SILENCE_NANOS = 5_000_000_000L
    }
}
