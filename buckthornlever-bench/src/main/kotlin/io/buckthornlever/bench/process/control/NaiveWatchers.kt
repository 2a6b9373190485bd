package io.buckthornlever.bench.process.control

import io.buckthornlever.api.process.Configuration
import io.buckthornlever.api.process.ObjectVersion
import java.time.Duration

/** Naive configuration: each instance lists and watches the store and knows no peers. */
internal class NaiveWatchers(
    size: Int,
    initial: Configuration,
) {
    private class Instance {
        var tables = Configuration()
        var isUp = true
    }

    private val queue = EventQueue()
    private val store = MemoryStore(queue)
    private val instances = ArrayList<Instance>()

    val waiting: Int get() = store.waiting
    val calls: Long get() = store.calls

    init {
        store.write { _, revision -> initial.copy(pools = initial.pools.copy(revision = revision)) }
        repeat(size) { start() }
    }

    fun run(duration: Duration) = queue.run(duration)

    /** Writes a change and returns the time until all instances have it. */
    fun change(limit: Duration): Duration {
        store.write { tables, revision -> TableFixture.changed(tables, revision) }
        return queue.runUntil(limit) { instances.all { !it.isUp || it.tables.pools.revision >= store.revision } }
    }

    /** Replaces all instances while the store is down; returns how many are without tables then. */
    fun restartAllWithoutStore(pause: Duration): Int {
        store.isDown = true
        instances.toList().forEach {
            it.isUp = false
            start()
            queue.run(pause)
        }
        return instances.count { it.isUp && it.tables.pools.revision == 0L }
    }

    private fun start() {
        val instance = Instance()
        instances.add(instance)
        store.list { answered(instance, it) }
    }

    private fun answered(instance: Instance, answer: Pair<ObjectVersion, Configuration>?) {
        if (!instance.isUp) return
        if (answer == null) {
            queue.after(RETRY) { if (instance.isUp) store.list { answered(instance, it) } }
            return
        }
        instance.tables = instance.tables.merge(answer.second)
        store.watch(answer.first) { answered(instance, it) }
    }

    private companion object {
        val RETRY: Duration = Duration.ofSeconds(1)
    }
}
