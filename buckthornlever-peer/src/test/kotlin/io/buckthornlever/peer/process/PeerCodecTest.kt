package io.buckthornlever.peer.process

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import io.buckthornlever.api.connection.PeerRejection
import io.buckthornlever.api.process.InstanceId
import io.buckthornlever.api.process.RouteName
import io.buckthornlever.api.version.VersionLabel
import io.buckthornlever.core.process.gossip.Fact
import io.buckthornlever.core.process.membership.MembershipSettings
import io.buckthornlever.core.process.membership.PeerMessage
import io.buckthornlever.core.process.membership.TableRevisions
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue

class PeerCodecTest {
    private val a = InstanceId("a")
    private val b = InstanceId("b")

    @Test
    fun `a message arrives as it was sent and only once`() {
        val counters = PeerCounters()
        val receiver = Peers.codec("b", counters = counters)
        val message = Peers.ping(7, listOf(Peers.update("c")))
        val bytes = assertNotNull(Peers.codec("a").encodeDatagram(b, message))
        assertEquals(PeerCodec.Received(a, message), receiver.decodeDatagram(bytes).get())
        assertEquals(PeerRejection.REPLAYED, receiver.decodeDatagram(bytes).getError())
        assertEquals(1, counters.rejections(PeerRejection.REPLAYED))
    }

    @Test
    fun `instances accept each other at every step of a key rotation`() {
        val stages =
            listOf(Peers.keys(Peers.OLD), Peers.keys(Peers.OLD, Peers.NEW), Peers.keys(Peers.NEW, Peers.OLD), Peers.keys(Peers.NEW))
        stages.zipWithNext().forEach { (before, after) ->
            listOf(before to after, after to before).forEach { (sender, receiver) ->
                val bytes = assertNotNull(Peers.codec("a", sender).encodeDatagram(b, Peers.ping(1)))
                assertNotNull(Peers.codec("b", receiver).decodeDatagram(bytes).get())
            }
        }
        val bytes = assertNotNull(Peers.codec("a", stages.first()).encodeDatagram(b, Peers.ping(1)))
        assertEquals(PeerRejection.UNAUTHENTICATED, Peers.codec("b", stages.last()).decodeDatagram(bytes).getError())
    }

    @Test
    fun `foreign, misdirected, oversized and stale messages are rejected`() {
        val receiver = Peers.codec("b")

        fun rejection(sender: PeerCodec, to: InstanceId = b) = receiver.decodeDatagram(
            assertNotNull(sender.encodeDatagram(to, Peers.ping(1))),
        ).getError()
        assertEquals(PeerRejection.FOREIGN_SITE, rejection(Peers.codec("a", site = "kasavu-line")))
        assertEquals(PeerRejection.MISDIRECTED, rejection(Peers.codec("a"), InstanceId("c")))
        assertEquals(PeerRejection.OVERSIZED, receiver.decodeDatagram(ByteArray(1_201)).getError())
        assertNull(rejection(Peers.codec("a", incarnation = 5)))
        assertEquals(PeerRejection.REPLAYED, rejection(Peers.codec("a", incarnation = 4)))
        assertEquals(PeerRejection.UNSUPPORTED_VERSION, rejection(Peers.codec("d", versions = ProtocolVersions(9, 9))))
    }

    @Test
    fun `two instances use the highest version that both support`() {
        val old = ProtocolVersions(1, 1)
        val new = ProtocolVersions(1, 3)
        val first = Peers.codec("a", versions = new)
        val second = Peers.codec("b", versions = old)
        assertNotNull(second.decodeDatagram(assertNotNull(first.encodeDatagram(b, Peers.ping(1)))).get())
        assertNotNull(first.decodeDatagram(assertNotNull(second.encodeDatagram(a, Peers.ping(2)))).get())
        assertEquals(listOf(1, 1), listOf(old.versionFor(a), new.versionFor(b)))
        new.updatePeer(b, 2)
        assertEquals(2, new.versionFor(b))
    }

    @Test
    fun `a datagram with as much gossip as the settings allow stays below the limit`() {
        val settings = MembershipSettings()
        val updates = generateSequence(0) { it + 1 }.map { Peers.update("instance-number-%05d".format(it), Long.MAX_VALUE) }
            .runningFold(0 to Peers.update("x")) { (sum, _), next -> sum + next.estimatedBytes() to next }
            .drop(1).takeWhile { it.first <= settings.gossipBytes }.map { it.second }.toList()
        assertNotNull(Peers.codec("a").encodeDatagram(b, Peers.ping(Long.MAX_VALUE, updates + Peers.update("accused"))))
        val facts =
            List(40) {
                Fact.Evidence(InstanceId("instance-$it"), RouteName("route"), VersionLabel("v"), List(6) { Long.MAX_VALUE }, Long.MAX_VALUE)
            }
        val taken = facts.runningFold(0 to facts[0]) { (sum, _), next -> sum + next.estimatedBytes() to next }
            .drop(1).takeWhile { it.first <= settings.gossipBytes }.map { it.second }
        val gossip = PeerMessage.Gossip(PeerMessage.News(Peers.update("a"), TableRevisions(), emptyList(), taken))
        assertNotNull(Peers.codec("a").encodeDatagram(b, gossip))
    }

    /** Guards against a modified byte that the MAC does not cover. */
    @Property(seed = "51", tries = 300)
    fun `a message that was modified in transit is rejected`(
        @ForAll seed: Long,
    ) {
        val random = Random(seed)
        val bytes = assertNotNull(Peers.codec("a").encodeDatagram(b, Peers.ping(random.nextLong())))
        val at = random.nextInt(bytes.size)
        bytes[at] = (bytes[at].toInt() xor random.nextInt(1, 256)).toByte()
        assertEquals(PeerRejection.UNAUTHENTICATED, Peers.codec("b").decodeDatagram(bytes).getError())
    }

    /** Guards against a decoder that throws or allocates memory on malformed payloads that are signed with a valid key. */
    @Property(seed = "52", tries = 2_000)
    fun `an authenticated but malformed payload is rejected`(
        @ForAll seed: Long,
    ) {
        val random = Random(seed)
        val versions = ProtocolVersions()
        val authenticator = MessageAuthenticator(PeerIdentity("pecan-row", a, 1), versions) { Peers.keys(Peers.OLD) }
        val valid = PeerCbor.encode(PeerMessage.serializer(), Peers.ping(random.nextLong(), listOf(Peers.update("c"))))
        val payload = if (random.nextBoolean()) random.nextBytes(random.nextInt(200)) else valid.copyOf(random.nextInt(valid.size + 1))
        repeat(random.nextInt(4)) { if (payload.isNotEmpty()) payload[random.nextInt(payload.size)] = random.nextInt().toByte() }
        val signed = authenticator.sign(b, payload)
        val asDatagram = Peers.codec("b").decodeDatagram(signed)
        assertTrue(asDatagram.get() != null || asDatagram.getError() == PeerRejection.MALFORMED)
        val framed = if (random.nextBoolean()) authenticator.sign(b, Compression.deflate(payload)) else authenticator.sign(b, payload)
        val asFrame = Peers.codec("b").decodeFrame(framed)
        assertTrue(asFrame.get() != null || asFrame.getError() == PeerRejection.MALFORMED)
    }

    /** Guards against unauthenticated bytes that crash the receiver. */
    @Property(seed = "53", tries = 500)
    fun `random bytes are rejected`(
        @ForAll seed: Long,
    ) {
        val random = Random(seed)
        assertNotNull(Peers.codec("b").decodeDatagram(random.nextBytes(random.nextInt(1_300))).getError())
    }

    /** Guards against a window that accepts a sequence number twice or rejects one that merely arrived out of order. */
    @Property(seed = "54", tries = 200)
    fun `the replay window behaves like a set of all numbers seen`(
        @ForAll seed: Long,
    ) {
        val random = Random(seed)
        val window = ReplayWindow()
        val seen = HashSet<Long>()
        var highest = 0L
        repeat(300) {
            val number = maxOf(0, highest + random.nextLong(-1_500, if (random.nextInt(20) == 0) 3_000 else 40))
            val expected = number !in seen && (seen.isEmpty() || number > highest - ReplayWindow.WINDOW_SIZE)
            assertEquals(expected, window.accept(a, 1, number), "number $number after $highest")
            if (expected) seen.add(number)
            highest = maxOf(highest, number)
        }
    }

    @Test
    fun `the findings on an invalid key file name the line and reveal no key`() {
        val findings = assertNotNull(PeerKeys.parse("# peer keys\n${Peers.OLD}\nshort\n\n1122\n").getError())
        assertEquals(
            listOf("line 3: has 5 characters; at least 32 are needed", "line 5: has 4 characters; at least 32 are needed"),
            findings.map {
                it.toString()
            },
        )
        assertNotNull(PeerKeys.parse("").getError())
        assertTrue(Peers.OLD !in Peers.keys(Peers.OLD).toString())
    }
}
