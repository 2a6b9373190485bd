package io.buckthornlever.gateway.process

import com.github.michaelbull.result.get
import org.junit.jupiter.api.Timeout
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull

/** Guards against messages that stop the event loop: the CBOR library never returns from some truncated maps. */
@Timeout(60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class CborCodecTest {
    private val overview =
        PeerMessage.Overview(
            "i1",
            1,
            2,
            mapOf(3L to mapOf("a" to 4L)),
            mapOf("i2" to (1L..300L).associate { it * FINGERPRINT_STEP to 1 }, "i3" to mapOf(-1L to 2)),
            setOf("i4"),
            loads = SharedLoads(5, byteArrayOf(1, 2, -3)),
            accountRates = mapOf("2/s/a" to 1_500.5),
        )

    @Test
    fun `a complete overview is decoded`() {
        assertEquals<PeerMessage?>(overview, decode(encode()))
    }

    @Test
    fun `messages without load and account figures, as other releases send them, are decoded`() {
        val state = PeerMessage.State("i1", 1, emptyMap(), emptyMap(), emptyMap())
        assertEquals<PeerMessage?>(state, decode(CborCodec.encode(PeerMessage.serializer(), state)))
        val plain = overview.copy(loads = null, accountRates = emptyMap())
        assertEquals<PeerMessage?>(plain, decode(CborCodec.encode(PeerMessage.serializer(), plain)))
    }

    @Test
    fun `an overview cut at any byte is rejected`() {
        val bytes = encode()
        for (size in bytes.indices) assertNull(decode(bytes.copyOf(size)), "$size bytes")
    }

    @Test
    fun `bytes after a message are rejected`() {
        assertNull(decode(encode() + 0))
    }

    @Test
    fun `a declared length far beyond the bytes is rejected`() {
        for (initial in listOf(0x5b, 0x7b, 0x9b, 0xbb)) {
            assertNull(decode(byteArrayOf(initial.toByte(), 0x7f, -1, -1, -1, -1, -1, -1, -1)), "initial byte $initial")
        }
    }

    @Test
    fun `deep nesting is rejected`() {
        assertNull(decode(ByteArray(60_000) { 0x81.toByte() }))
    }

    @Test
    fun `altered bytes are decoded or rejected but never hold up the caller`() {
        val random = Random(SEED)
        val bytes = encode()
        repeat(ALTERED_COUNT) {
            val altered = bytes.copyOf()
            repeat(1 + random.nextInt(3)) { altered[random.nextInt(altered.size)] = random.nextInt().toByte() }
            decode(altered)
        }
    }

    private fun encode(): ByteArray = CborCodec.encode(PeerMessage.serializer(), overview)

    private fun decode(bytes: ByteArray): PeerMessage? = CborCodec.decode(PeerMessage.serializer(), bytes).get()

    private companion object {
        const val FINGERPRINT_STEP = 0x1234_5678_9abcL
        const val SEED = 31
        const val ALTERED_COUNT = 2_000
    }
}
