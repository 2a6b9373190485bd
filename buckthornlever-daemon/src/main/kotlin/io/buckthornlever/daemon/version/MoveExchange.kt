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

/** Carries [MoveMessages] between entry instances over the peer protocol. Messages may get lost; their content is repeated. */
@OptIn(ExperimentalSerializationApi::class)
internal class MoveExchange(
    private val self: InstanceId,
    private val control: () -> ControlPlane,
) : AutoCloseable {
    private val senders = Executors.newFixedThreadPool(SENDERS) { Thread(it, "move-exchange").apply { isDaemon = true } }
    private val busy = ConcurrentHashMap.newKeySet<InstanceId>()

    /** Hands messages of other instances to [receive]. */
    fun start(receive: (MoveMessages) -> Unit) {
        control().handleOpaque(KIND) { _, body ->
            try {
                receive(Cbor.decodeFromByteArray(MoveMessages.serializer(), body))
            } catch (_: SerializationException) {
                // An instance with another version of the message; its facts reach this one through others.
            }
            ByteArray(0)
        }
    }

    /** Sends [messages] to all other live instances; one that has not answered the previous message is left out. */
    fun send(messages: MoveMessages) {
        val body = Cbor.encodeToByteArray(MoveMessages.serializer(), messages)
        control().liveMembers.filter { it.id != self && busy.add(it.id) }.forEach { peer -> senders.execute { deliver(peer, body) } }
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
            busy.remove(peer.id)
        }
    }

    private companion object {
        const val KIND = "version-moves"
        const val SENDERS = 8
        val TIMEOUT: Duration = Duration.ofSeconds(1)
    }
}
