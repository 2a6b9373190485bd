package io.buckthornlever.bench.process.control

import io.buckthornlever.api.process.Configuration
import io.buckthornlever.api.process.ObjectVersion
import java.time.Duration

/** Tables of the object API with long polls, outages and a count of calls. */
internal class MemoryStore(
    private val queue: EventQueue,
) {
    private class Waiter(
        val since: Long,
        var answer: ((Pair<ObjectVersion, Configuration>?) -> Unit)?,
    )

    var isDown = false
    var calls = 0L
        private set
    var tables = Configuration()
        private set
    var revision = 0L
        private set
    private val waiters = ArrayList<Waiter>()

    /** Watches that wait now. */
    val waiting: Int get() = waiters.count { it.answer != null }

    fun write(change: (Configuration, Long) -> Configuration) {
        revision++
        tables = change(tables, revision)
        val due = waiters.toList()
        waiters.clear()
        due.forEach { reply(it) }
    }

    fun list(answer: (Pair<ObjectVersion, Configuration>?) -> Unit) {
        calls++
        queue.after(LATENCY) { answer(if (isDown) null else ObjectVersion(revision) to tables) }
    }

    fun watch(since: ObjectVersion, answer: (Pair<ObjectVersion, Configuration>?) -> Unit) {
        calls++
        val waiter = Waiter(since.value, answer)
        if (isDown || revision > since.value) return reply(waiter)
        waiters.add(waiter)
        queue.after(WAIT) {
            waiters.remove(waiter)
            reply(waiter)
        }
    }

    private fun reply(waiter: Waiter) {
        val answer = waiter.answer ?: return
        waiter.answer = null
        queue.after(LATENCY) { answer(if (isDown) null else ObjectVersion(revision) to tables) }
    }

    private companion object {
        val LATENCY: Duration = Duration.ofMillis(5)
        val WAIT: Duration = Duration.ofSeconds(30)
    }
}
