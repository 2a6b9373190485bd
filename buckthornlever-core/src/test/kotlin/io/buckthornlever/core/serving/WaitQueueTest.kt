package io.buckthornlever.core.serving

import kotlin.test.Test
import kotlin.test.assertEquals

class WaitQueueTest {
    private val queue = WaitQueue<String>()
    private val offered = ArrayList<String>()

    @Test
    fun `requests are served by priority and then by deadline`() {
        queue.add("late", 1, 200)
        queue.add("early", 1, 100)
        queue.add("urgent", 0, 300)
        drain { QueueStep.DONE }
        assertEquals(listOf("urgent", "early", "late"), offered)
    }

    @Test
    fun `a new request does not pass those that wait ahead of it`() {
        queue.add("waiting", 0, 100)
        queue.add("new", 0, 200)
        var free = 1
        drain { if (free-- > 0) QueueStep.DONE else QueueStep.SATURATED }
        assertEquals(listOf("waiting", "new"), offered)
        assertEquals(1, queue.size)
    }

    @Test
    fun `a request that must not use the free upstream does not block those behind it`() {
        queue.add("tried it", 0, 100)
        queue.add("other", 0, 200)
        drain { if (it == "tried it") QueueStep.BLOCKED else QueueStep.DONE }
        assertEquals(listOf("tried it", "other"), offered)
        assertEquals(1, queue.size)
    }

    @Test
    fun `nothing more is tried once no upstream has capacity`() {
        repeat(1_000) { queue.add("r$it", 0, it.toLong()) }
        drain { QueueStep.SATURATED }
        assertEquals(1, offered.size)
    }

    @Test
    fun `requests may be added and removed while the queue is served`() {
        queue.add("first", 0, 100)
        queue.add("second", 0, 200)
        drain {
            if (queue.remove("second")) queue.add("added", 0, 50)
            QueueStep.BLOCKED
        }
        drain { QueueStep.BLOCKED }
        assertEquals(listOf("first", "second", "added", "first"), offered)
    }

    private fun drain(step: (String) -> QueueStep) =
        queue.drain { request ->
            offered.add(request)
            step(request).also { if (it == QueueStep.DONE) queue.remove(request) }
        }
}
