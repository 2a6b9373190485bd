package io.buckthornlever.cli.process

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.default

/** `domain`: takes a failure domain out of service or returns it. */
@OptIn(ExperimentalCli::class)
internal class DomainCommand : OperatorCommand("domain", "Take a failure domain out of service or return it") {
    private val action by argument(ArgType.Choice(listOf("take-out", "return"), { it }), description = "What to do")
    private val domain by argument(ArgType.String, description = "Name of the failure domain")
    private val waitSeconds by option(
        ArgType.Int,
        "wait-seconds",
        description = "How long to wait until the change is in effect everywhere",
    ).default(DEFAULT_WAIT_SECONDS)

    override fun perform() {
        if (!DOMAIN_NAME.matches(domain)) throw CommandFailure(ExitCode.USAGE, "'$domain' is not a valid failure domain name")
        val body = onFirstReachable { it.post("/admin/domains/$domain/$action").bodyOrFail() }
        PropagationWaiter(clients(), "pools", JsonText.parseRevision(body)).await(waitSeconds)
        println(if (json) body else "$domain: $action accepted with revision ${JsonText.parseRevision(body)}; in effect on every instance")
    }

    private companion object {
        val DOMAIN_NAME = Regex("[A-Za-z0-9._-]{1,64}")
        const val DEFAULT_WAIT_SECONDS = 15
    }
}
