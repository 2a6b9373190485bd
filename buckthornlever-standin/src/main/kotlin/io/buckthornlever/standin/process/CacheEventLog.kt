package io.buckthornlever.standin.process

import io.buckthornlever.api.process.Clock
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.add
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray

/** Cache events of one engine; late and with gaps as the faults say. */
internal class CacheEventLog(
    private val clock: Clock,
    private val faults: EngineFaults,
) {
    private val events = ArrayDeque<CacheEvent>()
    private var next = 1L

    @Synchronized
    fun add(
        kind: String,
        blocks: List<String>,
    ) {
        val sequence = next
        next += 1
        val dropEvery = faults.cacheEventDropEvery
        if (dropEvery > 0 && sequence % dropEvery == 0L) return
        events.addLast(CacheEvent(sequence, clock.monotonicNanos(), kind, blocks))
        if (events.size > MAX_EVENTS) events.removeFirst()
    }

    /** Events after [since] that are old enough; `next` is the value for the next call. */
    @Synchronized
    fun since(since: Long): JsonObject {
        val until = clock.monotonicNanos() - faults.cacheEventDelayMillis * NANOS_PER_MILLI
        val visible = events.filter { it.sequence > since && it.atNanos <= until }
        return buildJsonObject {
            put("next", visible.lastOrNull()?.sequence ?: since)
            putJsonArray("events") {
                visible.forEach { event ->
                    addJsonObject {
                        put("seq", event.sequence)
                        put("kind", event.kind)
                        putJsonArray("blocks") { event.blocks.forEach { add(it) } }
                    }
                }
            }
        }
    }

    companion object {
        const val STORED = "stored"
        const val EVICTED = "evicted"
        private const val MAX_EVENTS = 10_000
        private const val NANOS_PER_MILLI = 1_000_000L
    }
}
