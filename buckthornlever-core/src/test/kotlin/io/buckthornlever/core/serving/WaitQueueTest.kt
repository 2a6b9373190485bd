package io.buckthornlever.core.serving

import kotlin.test.Test
import kotlin.test.assertEquals

class WaitQueueTest {
    private val queue = WaitQueue<String>()
    private val offered = ArrayList<String>()

    @Test
    fun `requests are served by priority and then by deadline`() {
        queue.add("late", RequestPriority(1), 200)
        queue.add("early", RequestPriority(1), 100)
        queue.add("urgent", RequestPriority(0), 300)
        drain { QueueStep.DONE }
        assertEquals(listOf("urgent", "early", "late"), offered)
    }

    @Test
    fun `among accounts with a priority of their own the more urgent route is served first`() {
        queue.add("short", RequestPriority(1, 2), 100)
        queue.add("long", RequestPriority(1, 0), 200)
        queue.add("other account", RequestPriority(0, 2), 300)
        drain { QueueStep.DONE }
        assertEquals(listOf("other account", "long", "short"), offered)
    }

    @Test
    fun `within a priority accounts beyond their share come after the others`() {
        queue.add("hot", RequestPriority(1), 100, isBeyondShare = true)
        queue.add("quiet", RequestPriority(1), 200)
        queue.add("less urgent", RequestPriority(2), 50)
        drain { QueueStep.DONE }
        assertEquals(listOf("quiet", "hot", "less urgent"), offered)
    }

    @Test
    fun `a new request does not pass those that wait ahead of it`() {
        queue.add("waiting", RequestPriority(0), 100)
        queue.add("new", RequestPriority(0), 200)
        var free = 1
        drain { if (free-- > 0) QueueStep.DONE else QueueStep.SATURATED }
        assertEquals(listOf("waiting", "new"), offered)
        assertEquals(1, queue.size)
    }

    @Test
    fun `a request that must not use the free upstream does not block those behind it`() {
        queue.add("tried it", RequestPriority(0), 100)
        queue.add("other", RequestPriority(0), 200)
        drain { if (it == "tried it") QueueStep.BLOCKED else QueueStep.DONE }
        assertEquals(listOf("tried it", "other"), offered)
        assertEquals(1, queue.size)
    }

    @Test
    fun `nothing more is tried once no upstream has capacity`() {
        repeat(1_000) { queue.add("r$it", RequestPriority(0), it.toLong()) }
        drain { QueueStep.SATURATED }
        assertEquals(1, offered.size)
    }

    @Test
    fun `requests may be added and removed while the queue is served`() {
        queue.add("first", RequestPriority(0), 100)
        queue.add("second", RequestPriority(0), 200)
        drain {
            if (queue.remove("second")) queue.add("added", RequestPriority(0), 50)
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
