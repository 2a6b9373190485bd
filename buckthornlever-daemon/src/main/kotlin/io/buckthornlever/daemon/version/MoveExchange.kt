package io.buckthornlever.daemon.version

import io.buckthornlever.api.process.InstanceId
import io.buckthornlever.core.process.membership.MemberAddress
import io.buckthornlever.daemon.process.control.ControlPlane
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor
import java.time.Duration
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.Executors

/** Sends [MoveMessages] between entry instances over the peer protocol. Messages may be lost; their content is sent again. */
@OptIn(ExperimentalSerializationApi::class)
internal class MoveExchange(
    private val self: InstanceId,
    private val control: () -> ControlPlane,
) : AutoCloseable {
    private val senders = Executors.newFixedThreadPool(SENDERS) { Thread(it, "move-exchange").apply { isDaemon = true } }
    private val sendingTo = ConcurrentHashMap.newKeySet<InstanceId>()

    /** Starts to pass messages of other instances to [receive]. */
    fun start(receive: (MoveMessages) -> Unit) {
        control().handleOpaque(KIND) { _, body ->
            try {
                receive(Cbor.decodeFromByteArray(MoveMessages.serializer(), body))
            } catch (_: SerializationException) {
                // The sender uses another version of the message format; its facts reach this instance through other instances.
            }
            ByteArray(0)
        }
    }

    /** Sends [messages] to all other live instances except those that have not responded to the previous message yet. */
    fun send(messages: MoveMessages) {
        val body = Cbor.encodeToByteArray(MoveMessages.serializer(), messages)
        control().liveMembers.filter { it.id != self && sendingTo.add(it.id) }.forEach { peer -> senders.execute { deliver(peer, body) } }
    }

    override fun close() {
        senders.shutdownNow()
    }

    private fun deliver(
        peer: MemberAddress,
        body: ByteArray,
    ) {
        try {
            control().request(peer, KIND, body, TIMEOUT)
        } finally {
            sendingTo.remove(peer.id)
        }
    }

    private companion object {
        const val KIND = "version-moves"
        const val SENDERS = 8
        val TIMEOUT: Duration = Duration.ofSeconds(1)
    }
}
