package io.buckthornlever.cli.process

import io.buckthornlever.cli.connection.OperatorClient
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.longOrNull
import java.util.concurrent.TimeUnit
import java.util.concurrent.locks.LockSupport

/** Waits until every daemon of [clients] reports that [table] is in effect with at least [revision]. */
internal class PropagationWaiter(
    private val clients: List<OperatorClient>,
    private val table: String,
    private val revision: Long,
) {
    /** Throws [CommandFailure] with [ExitCode.NOT_EVERYWHERE] and the names of the instances that still lag after [seconds]. */
    fun await(seconds: Int) {
        val deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds.toLong())
        var lagging = findLagging()
        while (lagging.isNotEmpty() && System.nanoTime() < deadline) {
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(POLL_MILLIS))
            lagging = findLagging()
        }
        if (lagging.isEmpty()) return
        throw CommandFailure(
            ExitCode.NOT_EVERYWHERE,
            "accepted with revision $revision, but after $seconds s not yet in effect on ${lagging.joinToString(", ")}",
        )
    }

    private fun findLagging(): List<String> =
        clients.mapNotNull { client ->
            try {
                val status = JsonText.parseObject(client.get("/admin/status").bodyOrFail())
                val effectiveRevision = (status["${table}Revision"] as? JsonPrimitive)?.longOrNull ?: 0
                if (effectiveRevision >= revision) null else (status["instance"] as? JsonPrimitive)?.contentOrNull.orEmpty()
            } catch (e: CommandFailure) {
                e.message.orEmpty()
            }
        }

    private companion object {
        const val POLL_MILLIS = 100L
    }
}
