package io.buckthornlever.cli.process

import io.buckthornlever.cli.connection.OperatorClient
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.longOrNull
import java.util.concurrent.TimeUnit
import java.util.concurrent.locks.LockSupport

/** Waits until every given daemon reports at least a revision of a table. */
internal class PropagationWaiter(
    private val clients: List<OperatorClient>,
    private val table: String,
    private val revision: Long,
) {
    /** Fails with [ExitCode.NOT_EVERYWHERE] and the names of those that lag after [seconds]. */
    fun await(seconds: Int) {
        val end = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds.toLong())
        var lagging = findLagging()
        while (lagging.isNotEmpty() && System.nanoTime() < end) {
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
                val reached = (status["${table}Revision"] as? JsonPrimitive)?.longOrNull ?: 0
                if (reached >= revision) null else (status["instance"] as? JsonPrimitive)?.contentOrNull.orEmpty()
            } catch (e: CommandFailure) {
                e.message.orEmpty()
            }
        }

    private companion object {
        const val POLL_MILLIS = 100L
    }
}
