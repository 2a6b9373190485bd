package io.buckthornlever.gateway.process

import com.github.michaelbull.result.get
import io.buckthornlever.api.serving.StoreRevision
import kotlin.test.Test
import kotlin.test.assertContentEquals
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull

/**
 * Guards against messages that an older release rejects or misreads, and against misreading its messages. Releases up to 2c2adfe state
 * no version and reject messages with a field that they do not know.
 */
class PeerProtocolTest {
    @Test
    fun `recorded messages of releases without a version are read`() {
        for ((bytes, message) in RecordedMessages.MESSAGES + RecordedMessages.HOLDER_STATUS_WITH_ERA) {
            assertEquals(PeerDatagram(PeerProtocol.UNSTATED, message), PeerProtocol.decode(bytes).get())
        }
    }

    @Test
    fun `an instance that states no version gets the bytes of its own release`() {
        for ((bytes, message) in RecordedMessages.MESSAGES) {
            assertContentEquals(bytes, PeerProtocol.encode(withNewerFields(message), PeerProtocol.UNSTATED), "$message")
        }
    }

    @Test
    fun `messages that an instance without a version would misread or reject are not sent to it`() {
        val certain = PeerMessage.HolderStatus("i1", 19, 1_500, emptyMap())
        assertNull(PeerProtocol.encode(certain.copy(isUncertain = true), PeerProtocol.UNSTATED))
        assertNull(PeerProtocol.encode(certain.copy(leaseVersion = StoreRevision.of(1, 19)), PeerProtocol.UNSTATED))
        assertNull(PeerProtocol.encode(PeerMessage.CreditRequest("i1", 7, 8, "a", 2.5), PeerProtocol.UNSTATED))
        assertNull(PeerProtocol.encode(PeerMessage.CreditResponse("i1", 7, 8), PeerProtocol.UNSTATED))
        assertNull(PeerProtocol.encode(PeerMessage.CreditReturn("i1", 7, 8, 2.5), PeerProtocol.UNSTATED))
    }

    @Test
    fun `an instance that states a version gets whole messages`() {
        for ((_, message) in RecordedMessages.MESSAGES) {
            val whole = withNewerFields(message)
            val bytes = assertNotNull(PeerProtocol.encode(whole, PeerProtocol.CURRENT))
            assertEquals(PeerDatagram(PeerProtocol.CURRENT, whole), PeerProtocol.decode(bytes).get())
        }
    }

    @Test
    fun `an instance of a later release gets messages of this version`() {
        val message = PeerMessage.ChargeRefund("i1", 7, 8)
        val bytes = assertNotNull(PeerProtocol.encode(message, PeerProtocol.CURRENT + 1))
        assertEquals(PeerDatagram(PeerProtocol.CURRENT, message), PeerProtocol.decode(bytes).get())
    }

    @Test
    fun `releases without a version reject a message of a version as a whole`() {
        for ((_, message) in RecordedMessages.MESSAGES) {
            val bytes = assertNotNull(PeerProtocol.encode(message, PeerProtocol.CURRENT))
            // Such a release decodes the datagram as a message.
            assertNull(CborCodec.decode(PeerMessage.serializer(), bytes).get())
        }
    }

    @Test
    fun `an empty datagram and one of other content are rejected`() {
        assertNull(PeerProtocol.decode(ByteArray(0)).get())
        assertNull(PeerProtocol.decode(byteArrayOf(0xbf.toByte(), -1)).get())
        assertNull(PeerProtocol.decode("text".encodeToByteArray()).get())
    }

    private fun withNewerFields(message: PeerMessage): PeerMessage {
        val ended = listOf(PeerMessage.EndedProcess("i9", 1, mapOf(3L to mapOf("a" to 4L))))
        val loads = SharedLoads(5, byteArrayOf(1, 2, -3))
        val rates = mapOf("2/s/a" to 1_500.5)
        return when (message) {
            is PeerMessage.State -> message.copy(firstOpenWindow = 4, ended = ended, loads = loads, accountRates = rates)
            is PeerMessage.Overview -> message.copy(firstOpenWindow = 4, reportedThrough = 3, loads = loads, accountRates = rates)
            is PeerMessage.HolderStatus -> message.copy(ended = ended)
            else -> message
        }
    }
}
