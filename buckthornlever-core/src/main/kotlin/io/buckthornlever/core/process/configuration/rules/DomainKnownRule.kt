package io.buckthornlever.core.process.configuration.rules

import io.buckthornlever.api.process.Configuration
import io.buckthornlever.api.process.FailureDomain
import io.buckthornlever.api.process.Finding
import io.buckthornlever.core.process.configuration.ConfigurationRule

/**
 * Failure domains that a pool allows or that operators took out must be known, so that a misspelt domain is not silently ignored.
 * Domains of [knownDomains] and of the listed upstreams are known.
 */
public class DomainKnownRule(
    private val knownDomains: Set<FailureDomain> = emptySet(),
) : ConfigurationRule {
    override fun check(configuration: Configuration): List<Finding> {
        val table = configuration.pools
        val known = knownDomains + table.pools.flatMap { pool -> pool.upstreams.map { it.failureDomain } }
        val allowed = table.pools.flatMapIndexed { index, pool -> unknown("pools[$index].failureDomains", pool.failureDomains, known) }
        return allowed + unknown("domainsOut", table.domainsOut, known)
    }

    private fun unknown(path: String, domains: List<FailureDomain>, known: Set<FailureDomain>): List<Finding> =
        domains.withIndex().filter { it.value !in known }.map { (index, domain) -> Finding("$path[$index]", "'$domain' has no upstream") }
}
