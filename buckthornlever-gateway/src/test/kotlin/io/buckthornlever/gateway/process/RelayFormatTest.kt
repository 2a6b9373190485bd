package io.buckthornlever.gateway.process

import com.github.michaelbull.result.get
import io.buckthornlever.api.connection.UpstreamId
import io.buckthornlever.api.process.FailureDomain
import io.buckthornlever.api.serving.DiscoveredUpstream
import io.buckthornlever.api.serving.InstanceRecord
import io.buckthornlever.api.serving.StateChange
import io.buckthornlever.api.serving.StateObject
import io.buckthornlever.api.serving.StateValue
import io.buckthornlever.api.serving.StoreRevision
import io.buckthornlever.api.version.VersionLabel
import java.time.Duration
import kotlin.test.Test
import kotlin.test.assertContentEquals
import kotlin.test.assertEquals
import kotlin.test.assertNull

/** Guards against followers of older releases that take a revision with the era for the store's own number, and against the reverse. */
class RelayFormatTest {
    private val newest = StoreRevision.of(1, 19)

    @Test
    fun `a follower that states a version gets revisions with the era`() {
        assertEquals(RelayFormat.VERSIONED, RelayFormat.of(1, null, newest))
        assertEquals(RelayFormat.VERSIONED, RelayFormat.of(2, 7, newest))
        val complete = response(1, PeerProtocol.CURRENT)
        assertEquals(complete.copy(version = PeerProtocol.CURRENT), RelayFormat.VERSIONED.convert(complete))
    }

    @Test
    fun `a follower without a version that knows no eras gets the store's own numbers`() {
        val format = checkNotNull(RelayFormat.of(0, 7, newest))
        assertEquals(StoreRevision.of(1, 7), format.since(7, newest))
        assertContentEquals(RecordedMessages.RELAY_RESPONSE_WITHOUT_ERA, encode(format.convert(response(1, PeerProtocol.CURRENT))))
    }

    @Test
    fun `a follower without a version that knows eras gets them and no newer fields`() {
        val since = StoreRevision.of(1, 7)
        val format = checkNotNull(RelayFormat.of(0, since, newest))
        assertEquals(since, format.since(since, newest))
        assertContentEquals(RecordedMessages.RELAY_RESPONSE_WITH_ERA, encode(format.convert(response(1, PeerProtocol.CURRENT))))
    }

    @Test
    fun `a follower without a version asks the store where the relay cannot know what it means`() {
        assertNull(RelayFormat.of(0, null, newest), "a listing")
        assertNull(RelayFormat.of(0, 20, newest), "a number beyond the relay's, perhaps of an earlier era")
        assertNull(RelayFormat.of(0, -1, newest), "a negative number")
    }

    @Test
    fun `without eras all followers get the same revisions`() {
        for (since in listOf(null, 7L)) {
            val format = checkNotNull(RelayFormat.of(0, since, 19))
            assertEquals(since, format.since(since, 19))
            assertEquals(response(0, PeerProtocol.UNSTATED), format.convert(response(0, PeerProtocol.CURRENT)))
        }
    }

    @Test
    fun `responses of a relay that states no version are recognised`() {
        val recorded = listOf(RecordedMessages.RELAY_RESPONSE_WITHOUT_ERA, RecordedMessages.RELAY_RESPONSE_WITH_ERA)
        val decoded = recorded.map { CborCodec.decode(RelayResponse.serializer(), it).get() }
        assertEquals<List<RelayResponse?>>(listOf(response(0, PeerProtocol.UNSTATED), response(1, PeerProtocol.UNSTATED)), decoded)
    }

    // Guards against followers of older releases that reject registrations with a field that they do not know.
    @Test
    fun `only a follower that states a version gets the sequence of a registration`() {
        val upstream = UPSTREAM.copy(sequence = 5)
        val change = StateChange(StateObject("u1", 12, StateValue.Upstream(upstream)), false)
        val complete = RelayResponse(listOf(change), 19, -5)
        assertEquals(complete.changes, RelayFormat.VERSIONED.convert(complete).changes)
        for (format in listOf(RelayFormat.WITH_ERA, RelayFormat.WITHOUT_ERA)) {
            assertEquals(StateValue.Upstream(UPSTREAM), format.convert(complete).changes.single().changed.value)
        }
    }

    private fun encode(response: RelayResponse): ByteArray = CborCodec.encode(RelayResponse.serializer(), response)

    private fun response(
        era: Long,
        protocol: Int,
    ): RelayResponse {
        val record = InstanceRecord("i2", "127.0.0.1", 9, FailureDomain("a"), 10.0, protocol)
        val change = StateChange(StateObject("i2", StoreRevision.of(era, 12), StateValue.Instance(record)), false)
        return RelayResponse(listOf(change), StoreRevision.of(era, 19), -5)
    }

    private companion object {
        val UPSTREAM =
            DiscoveredUpstream(
                id = UpstreamId("u1"),
                service = "s",
                host = "127.0.0.1",
                port = 9,
                domain = FailureDomain("a"),
                version = VersionLabel("v1"),
                slots = 4,
                leaving = false,
                coldFor = Duration.ZERO,
                reclaimable = false,
                bornMillis = 1,
            )
    }
}
