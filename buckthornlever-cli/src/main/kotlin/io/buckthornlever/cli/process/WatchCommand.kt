package io.buckthornlever.cli.process

import io.buckthornlever.cli.connection.OperatorClient
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.default
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.contentOrNull
import java.util.concurrent.TimeUnit
import java.util.concurrent.locks.LockSupport

/** `watch`: prints a line whenever the status of an instance changes. */
@OptIn(ExperimentalCli::class)
internal class WatchCommand : OperatorCommand("watch", "Print changes of the status as they happen") {
    private val seconds by option(ArgType.Int, "seconds", description = "How long to watch; 0 is without end").default(0)

    override fun perform() {
        val all = clients()
        val lastLines = HashMap<OperatorClient, String>()
        val deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds.toLong())
        while (seconds == 0 || System.nanoTime() < deadline) {
            all.forEach { client ->
                val line = formatStatus(client)
                if (lastLines.put(client, line) != line) println(line)
            }
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(POLL_MILLIS))
        }
    }

    private fun formatStatus(client: OperatorClient): String =
        try {
            val status = JsonText.parseObject(client.get("/admin/status").bodyOrFail())
            STATUS_KEYS.joinToString(" ") { key -> "$key=${(status[key] as? JsonPrimitive)?.contentOrNull ?: status[key]}" }
        } catch (e: CommandFailure) {
            "unreachable: ${e.message}"
        }

    private companion object {
        const val POLL_MILLIS = 500L
        val STATUS_KEYS = listOf("instance", "ready", "routesRevision", "poolsRevision", "domainsOut")
    }
}
