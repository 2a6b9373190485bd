package io.buckthornlever.core.process.configuration.rules

import io.buckthornlever.api.process.Configuration
import io.buckthornlever.api.process.Finding
import io.buckthornlever.core.process.configuration.ConfigurationRule

/** Time limits, body size and retry budget of a route are within bounds. */
public class RouteLimitsRule : ConfigurationRule {
    override fun check(configuration: Configuration): List<Finding> =
        configuration.routes.routes.flatMapIndexed { index, route ->
            val path = "routes[$index]"
            listOfNotNull(
                Range.check("$path.timeoutMillis", route.timeoutMillis, 1, MAX_TIMEOUT_MILLIS),
                Range.check("$path.progressTimeoutMillis", route.progressTimeoutMillis, 1, MAX_TIMEOUT_MILLIS),
                Range.check("$path.maxBodyBytes", route.maxBodyBytes, 0, MAX_BODY_BYTES),
                Range.check("$path.retryBudgetPercent", route.retryBudgetPercent.toLong(), 0, MAX_PERCENT),
            )
        }

    private companion object {
        const val MAX_TIMEOUT_MILLIS = 86_400_000L
        const val MAX_BODY_BYTES = 1_000_000_000L
        const val MAX_PERCENT = 100L
    }
}
