package io.buckthornlever.core.serving

import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.Size
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** Guards against events that are lost, duplicated or passed on incomplete, however the bytes are split. */
class EventSplitterTest {
    @Property(tries = 300, seed = "7")
    fun `all events arrive once and in order, however the bytes are split`(
        @ForAll @Size(max = 40) cuts: List<Int>,
    ) {
        val stream = (1..12).joinToString("") { "id: $it\ndata: ${"x".repeat(it)}\n\n" }.encodeToByteArray()
        val splitter = EventSplitter()
        val events = ArrayList<ServerSentEvent>()
        var from = 0
        for (cut in cuts) {
            val to = minOf(stream.size, from + Math.floorMod(cut, LONGEST_PIECE) + 1)
            events += splitter.add(stream.copyOfRange(from, to))
            from = to
        }
        events += splitter.add(stream.copyOfRange(from, stream.size))
        assertEquals((1L..12L).toList(), events.map { it.id })
        assertEquals(stream.decodeToString(), events.joinToString("") { it.bytes.decodeToString() })
        assertFalse(splitter.isInsideEvent)
    }

    @Test
    fun `an incomplete event stays buffered until the rest arrives`() {
        val splitter = EventSplitter()
        assertTrue(splitter.add("id: 1\ndata: a\n".encodeToByteArray()).isEmpty())
        assertTrue(splitter.isInsideEvent)
        assertEquals(1, splitter.add("\n".encodeToByteArray()).single().id)
    }

    @Test
    fun `lines may end with carriage returns`() {
        val events = EventSplitter().add("id: 4\r\ndata: a\r\n\r\nid: 5\r\n\r\n".encodeToByteArray())
        assertEquals(listOf<Long?>(4, 5), events.map { it.id })
    }

    private companion object {
        const val LONGEST_PIECE = 17
    }
}
