package io.buckthornlever.cli.process

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.contentOrNull

/** `status`: prints one line for each daemon with its revisions and open requests. */
@OptIn(ExperimentalCli::class)
internal class StatusCommand : OperatorCommand("status", "Show each instance with the revisions in effect") {
    override fun perform() {
        val bodies = clients().map { it.get("/admin/status").bodyOrFail() }
        if (json) return println("[${bodies.joinToString(",")}]")
        println(ROW_FORMAT.format("INSTANCE", "DOMAIN", "READY", "OPEN", "ROUTES", "POOLS", "OUT"))
        bodies.map(JsonText::parseObject).forEach { println(formatRow(it)) }
    }

    private fun formatRow(status: JsonObject): String =
        ROW_FORMAT.format(
            text(status, "instance"),
            text(status, "failureDomain"),
            text(status, "ready"),
            text(status, "openRequests"),
            text(status, "routesRevision"),
            text(status, "poolsRevision"),
            (status["domainsOut"] as? JsonArray)?.joinToString(",") { (it as JsonPrimitive).content }.orEmpty().ifEmpty { "-" },
        )

    private fun text(
        status: JsonObject,
        key: String,
    ): String = (status[key] as? JsonPrimitive)?.contentOrNull ?: "-"

    private companion object {
        const val ROW_FORMAT = "%-20s %-20s %-6s %6s %8s %8s  %s"
    }
}
