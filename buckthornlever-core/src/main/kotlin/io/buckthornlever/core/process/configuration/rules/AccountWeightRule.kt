package io.buckthornlever.core.process.configuration.rules

import io.buckthornlever.api.process.Configuration
import io.buckthornlever.api.process.Finding
import io.buckthornlever.core.process.configuration.ConfigurationRule

/** The weight of an account is finite, positive and within bounds. */
public class AccountWeightRule : ConfigurationRule {
    override fun check(configuration: Configuration): List<Finding> =
        configuration.accounts.accounts.mapIndexedNotNull { index, account ->
            Range.check("accounts[$index].weight", account.weight, MIN_WEIGHT, MAX_WEIGHT)
        }

    private companion object {
        const val MIN_WEIGHT = 0.001
        const val MAX_WEIGHT = 1_000.0
    }
}
