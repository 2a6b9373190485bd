package io.buckthornlever.gateway.process

import io.buckthornlever.api.process.Clock
import io.buckthornlever.api.serving.InstanceRecord
import io.buckthornlever.gateway.connection.ServerAddress
import io.netty.bootstrap.Bootstrap
import io.netty.buffer.ByteBufUtil
import io.netty.buffer.Unpooled
import io.netty.buffer.UnpooledByteBufAllocator
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoop
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.DatagramPacket
import io.netty.channel.socket.nio.NioDatagramChannel
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor
import java.net.InetSocketAddress
import java.time.Duration
import java.util.concurrent.TimeUnit

/**
 * Exchange of [PeerState] between all instances by datagrams. The interval grows with the number of instances, so that one
 * instance's traffic stays constant.
 */
@OptIn(ExperimentalSerializationApi::class)
internal class PeerExchange(
    private val loop: EventLoop,
    private val clock: Clock,
    private val self: String,
    private val state: () -> PeerState,
    private val heard: (PeerState) -> Unit,
) {
    private val addresses = HashMap<String, InetSocketAddress>()
    private val records = HashMap<String, InstanceRecord>()
    private val lastHeard = HashMap<String, Long>()
    private var channel: Channel? = null

    /** Interval between two messages to the same instance. */
    val interval: Duration get() = Duration.ofMillis(maxOf(MIN_INTERVAL_MILLIS, addresses.size * MILLIS_PER_INSTANCE))

    /** Names of the other instances that exist: heard of lately, or listed not long ago. */
    fun live(): Set<String> {
        val now = clock.monotonicNanos()
        return addresses.keys.filterTo(HashSet()) { now - (lastHeard[it] ?: now) <= GONE_NANOS }
    }

    fun start(address: ServerAddress) {
        val bound =
            Bootstrap()
                .group(loop)
                .channel(NioDatagramChannel::class.java)
                .option(ChannelOption.ALLOCATOR, UnpooledByteBufAllocator(false))
                .handler(Receiver())
                .bind(address.host, address.port)
        bound.addListener { if (it.isSuccess) channel = bound.channel() }
        loop.schedule({ tell() }, MIN_INTERVAL_MILLIS, TimeUnit.MILLISECONDS)
    }

    /** Records of the [live] instances. */
    fun members(): Collection<InstanceRecord> = live().mapNotNull(records::get)

    fun listed(record: InstanceRecord) {
        if (record.name == self) return
        records[record.name] = record
        addresses[record.name] = InetSocketAddress(record.host, record.peerPort)
        lastHeard[record.name] = clock.monotonicNanos()
    }

    fun unlisted(name: String) {
        addresses.remove(name)
        records.remove(name)
        lastHeard.remove(name)
    }

    /** Sends the state to all instances at once. */
    fun tellNow() {
        val open = channel ?: return
        if (addresses.isEmpty()) return
        val bytes = Cbor.encodeToByteArray(PeerState.serializer(), state())
        for (address in addresses.values) open.write(DatagramPacket(Unpooled.wrappedBuffer(bytes), address))
        open.flush()
    }

    private fun tell() {
        tellNow()
        loop.schedule({ tell() }, interval.toMillis(), TimeUnit.MILLISECONDS)
    }

    private inner class Receiver : SimpleChannelInboundHandler<DatagramPacket>() {
        override fun channelRead0(
            context: ChannelHandlerContext,
            packet: DatagramPacket,
        ) {
            val told =
                try {
                    Cbor.decodeFromByteArray(PeerState.serializer(), ByteBufUtil.getBytes(packet.content()))
                } catch (_: SerializationException) {
                    // A datagram from another program or release says nothing.
                    return
                }
            if (told.instance == self) return
            lastHeard[told.instance] = clock.monotonicNanos()
            heard(told)
        }
    }

    private companion object {
        /** Interval in which quotas over few instances stay exact enough. */
        const val MIN_INTERVAL_MILLIS = 250L

        /** Keeps an instance at 100 datagrams a second with many instances. */
        const val MILLIS_PER_INSTANCE = 10L

        /** Silence after which an instance counts as gone; longer than a restart takes. */
        const val GONE_NANOS = 15_000_000_000L
    }
}
