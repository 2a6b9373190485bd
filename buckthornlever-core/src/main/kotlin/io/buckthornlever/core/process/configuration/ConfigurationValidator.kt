package io.buckthornlever.core.process.configuration

import io.buckthornlever.api.process.Configuration
import io.buckthornlever.api.process.Finding
import io.buckthornlever.core.process.configuration.rules.AccountKeyRule
import io.buckthornlever.core.process.configuration.rules.AccountWeightRule
import io.buckthornlever.core.process.configuration.rules.DomainKnownRule
import io.buckthornlever.core.process.configuration.rules.DuplicateNameRule
import io.buckthornlever.core.process.configuration.rules.MoveTimesRule
import io.buckthornlever.core.process.configuration.rules.MoveVersionsRule
import io.buckthornlever.core.process.configuration.rules.PathPrefixRule
import io.buckthornlever.core.process.configuration.rules.PoolReferenceRule
import io.buckthornlever.core.process.configuration.rules.RouteLimitsRule
import io.buckthornlever.core.process.configuration.rules.UpstreamLimitsRule
import io.buckthornlever.core.process.configuration.rules.UpstreamUrlRule

/** Applies all [rules]; a configuration with a finding is refused as a whole. */
public class ConfigurationValidator(
    private val rules: List<ConfigurationRule> = STANDARD_RULES,
) {
    /** Findings of all rules, in the order of the rules. */
    public fun check(configuration: Configuration): List<Finding> = rules.flatMap { it.check(configuration) }

    public companion object {
        /** The rules of the daemon and of the operator's tool. */
        public val STANDARD_RULES: List<ConfigurationRule> = listOf(
            DuplicateNameRule(),
            PoolReferenceRule(),
            PathPrefixRule(),
            RouteLimitsRule(),
            UpstreamUrlRule(),
            UpstreamLimitsRule(),
            DomainKnownRule(),
            MoveVersionsRule(),
            MoveTimesRule(),
            AccountKeyRule(),
            AccountWeightRule(),
        )
    }
}
