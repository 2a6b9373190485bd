package io.buckthornlever.gateway.process

import io.buckthornlever.api.serving.StateKind
import java.util.TreeMap

/** Counts the calls of this process to the store, each of which has a price. */
internal class StoreCallCounter(
    private val metrics: GatewayMetrics,
) {
    private val counts = TreeMap<String, Long>()

    /** All calls since the start of the process. */
    val total: Long get() = counts.values.sum()

    /** Counts a call with [verb] to objects of [kind] that was made for [cause]. */
    fun onCall(
        kind: StateKind,
        verb: String,
        cause: StoreCallCause,
    ) {
        val kindKey = kind.name.lowercase()
        counts.merge("$kindKey.$verb.${cause.key}", 1, Long::plus)
        metrics.recordStoreCall(kindKey, verb, cause)
    }

    /** Counts of the form `KIND.VERB.CAUSE:COUNT`, separated by commas. */
    fun summary(): String = counts.entries.joinToString(",") { (key, count) -> "$key:$count" }
}
