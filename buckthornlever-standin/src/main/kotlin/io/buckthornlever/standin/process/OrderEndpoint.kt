package io.buckthornlever.standin.process

import io.buckthornlever.api.process.Clock
import io.buckthornlever.standin.connection.Exchange
import io.buckthornlever.standin.request.EngineOrder
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.longOrNull
import kotlinx.serialization.json.put

/** Receives orders of an engine and refuses outdated ones if the engine honours fencing numbers. */
internal class OrderEndpoint(
    private val config: EngineConfig,
    private val faults: EngineFaults,
    private val records: EngineRecords,
    private val clock: Clock,
    private val execute: (EngineOrder) -> Unit,
) {
    /** Kept over restarts, because a deployment that honours fencing numbers stores them. */
    private var highest = 0L

    fun handle(exchange: Exchange) {
        val body = exchange.body()
        val fencing = (body["fencing"] as? JsonPrimitive)?.longOrNull
        val kind = body.text("kind")
        if (fencing == null || kind == null) {
            exchange.context.status(400)
            return
        }
        val arrivedAt = clock.now()
        val before = raise(fencing)
        val honoured = faults.honoursFencing ?: config.honoursFencing
        val accepted = !honoured || fencing >= before
        if (accepted && config.orderMillis > 0) Thread.sleep(config.orderMillis)
        val order =
            EngineOrder(fencing, before, kind, body.text("model"), body.text("version"), arrivedAt, clock.now(), accepted)
        if (accepted) execute(order)
        records.ordered(order)
        if (accepted && faults.takeLostOrder()) return exchange.drop()
        val answer = buildJsonObject { put("fencing", maxOf(before, fencing)) }
        exchange.answer(if (accepted) 200 else 409, answer)
    }

    @Synchronized
    private fun raise(fencing: Long): Long {
        val before = highest
        highest = maxOf(highest, fencing)
        return before
    }

    private fun JsonObject.text(name: String): String? = (this[name] as? JsonPrimitive)?.contentOrNull
}
