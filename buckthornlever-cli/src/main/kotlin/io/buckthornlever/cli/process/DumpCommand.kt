package io.buckthornlever.cli.process

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.contentOrNull

/** `dump`: prints the whole state of one instance. */
@OptIn(ExperimentalCli::class)
internal class DumpCommand : OperatorCommand("dump", "Print the state of one instance") {
    private val instance by argument(ArgType.String, description = "Id of the instance")

    override fun perform() {
        val dump =
            clients()
                .asSequence()
                .map { it.get("/admin/dump").bodyOrFail() }
                .firstOrNull { (JsonText.parseObject(it)["instance"] as? JsonPrimitive)?.contentOrNull == instance }
                ?: throw CommandFailure(ExitCode.FAILED, "none of the given daemons is instance '$instance'")
        println(JsonText.prettyPrint(dump))
    }
}
