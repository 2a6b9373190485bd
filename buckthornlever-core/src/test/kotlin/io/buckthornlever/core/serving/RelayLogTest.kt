package io.buckthornlever.core.serving

import io.buckthornlever.api.serving.StateObject
import io.buckthornlever.api.serving.StoreRevision
import java.time.Duration
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertIs
import kotlin.test.assertTrue

/** Guards against followers that miss a change or rely on a relay that has lost contact with the store. */
class RelayLogTest {
    private val log = RelayLog(Duration.ofNanos(100))

    @Test
    fun `nothing is available before the store was read`() {
        assertIs<RelayReply.Unavailable>(log.reply(null, 0))
    }

    @Test
    fun `a follower gets every change after its revision`() {
        log.onChanged(StateObject("a", 3, null))
        log.onSynchronised(5, 10)
        log.onChanged(StateObject("b", 7, null))
        log.onDeleted("a")
        assertTrue(log.onSynchronised(8, 20))
        val reply = assertIs<RelayReply.Changes>(log.reply(5, 30))
        assertEquals(listOf("b" to false, "a" to true), reply.changes.map { it.changed.name to it.deleted })
        assertEquals(8, reply.revision)
        assertEquals(20, reply.asOfNanos)
        assertEquals(listOf("b"), assertIs<RelayReply.Changes>(log.reply(null, 30)).changes.map { it.changed.name })
    }

    @Test
    fun `a follower with a revision from before the first listing has to list`() {
        log.onSynchronised(5, 10)
        assertIs<RelayReply.HistoryGone>(log.reply(4, 20))
    }

    @Test
    fun `a follower that is ahead gets nothing and keeps its revision`() {
        log.onSynchronised(5, 10)
        assertEquals(RelayReply.Changes(emptyList(), 9, 10), log.reply(9, 20))
    }

    @Test
    fun `a follower from before a restore of the store has to list`() {
        log.onSynchronised(StoreRevision.of(1, 5), 10)
        log.onSynchronised(StoreRevision.of(2, 3), 20)
        assertIs<RelayReply.HistoryGone>(log.reply(StoreRevision.of(1, 9), 30))
        assertIs<RelayReply.Changes>(log.reply(StoreRevision.of(2, 3), 30))
    }

    @Test
    fun `a relay that has not noticed a restore of the store has nothing for followers that have`() {
        log.onSynchronised(StoreRevision.of(1, 5), 10)
        assertIs<RelayReply.Unavailable>(log.reply(StoreRevision.of(2, 3), 20))
    }

    @Test
    fun `an old confirmation is not passed on`() {
        log.onSynchronised(5, 10)
        assertTrue(log.isAvailable(110))
        assertIs<RelayReply.Unavailable>(log.reply(5, 111))
        log.onSynchronised(5, 100)
        assertIs<RelayReply.Changes>(log.reply(5, 111))
    }

    @Test
    fun `a pause discards the confirmation`() {
        log.onSynchronised(5, 10)
        log.onPause(11)
        assertFalse(log.isAvailable(11))
        log.onSynchronised(6, 10)
        assertFalse(log.isAvailable(11))
        log.onSynchronised(6, 11)
        assertTrue(log.isAvailable(11))
    }

    @Test
    fun `changes beyond the limit are dropped from the history`() {
        log.onSynchronised(1, 1)
        repeat(2_000) {
            log.onChanged(StateObject("object-$it", it + 2L, null))
            log.onSynchronised(it + 2L, 1)
        }
        assertIs<RelayReply.HistoryGone>(log.reply(1, 1))
        assertEquals(1_024, assertIs<RelayReply.Changes>(log.reply(977, 1)).changes.size)
    }

    @Test
    fun `an object that changes again and again is kept once, however many followers are behind`() {
        log.onSynchronised(1, 1)
        repeat(2_000) {
            log.onChanged(StateObject("a", it + 2L, null))
            log.onSynchronised(it + 2L, 1)
        }
        val reply = assertIs<RelayReply.Changes>(log.reply(1, 1))
        assertEquals(listOf(2_001L), reply.changes.map { it.changed.revision })
        assertEquals(2_001, reply.revision)
    }

    @Test
    fun `changes that no completed reading has confirmed do not add up`() {
        log.onSynchronised(1, 1)
        repeat(2_000) { log.onChanged(StateObject("a", it + 2L, null)) }
        log.onSynchronised(2_001, 1)
        assertEquals(1, assertIs<RelayReply.Changes>(log.reply(1, 1)).changes.size)
    }

    @Test
    fun `an object that was deleted and created again is not delivered as deleted`() {
        log.onChanged(StateObject("a", 3, null))
        log.onSynchronised(5, 10)
        log.onDeleted("a")
        log.onSynchronised(7, 20)
        log.onChanged(StateObject("a", 8, null))
        log.onSynchronised(9, 30)
        val reply = assertIs<RelayReply.Changes>(log.reply(5, 30))
        assertEquals(listOf(8L to false), reply.changes.map { it.changed.revision to it.deleted })
    }
}
