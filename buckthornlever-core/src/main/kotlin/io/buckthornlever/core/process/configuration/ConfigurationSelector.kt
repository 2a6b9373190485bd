package io.buckthornlever.core.process.configuration

import io.buckthornlever.api.process.Configuration
import io.buckthornlever.api.process.Finding

/**
 * Chooses the newest valid combination of tables. Tables refer to each other, so that a route table may be invalid until the pool
 * table that it needs arrives; refused tables are kept until then.
 */
internal class ConfigurationSelector(
    private val validator: ConfigurationValidator,
) {
    /** The chosen configuration, and the newest combination with its findings when that was refused. */
    class Choice(
        val configuration: Configuration,
        val refused: Configuration,
        val findings: List<Finding>,
    )

    fun choose(active: Configuration, refused: Configuration, offered: Configuration): Choice {
        val newest = active.merge(refused).merge(offered)
        val findings = validator.check(newest)
        if (findings.isEmpty()) return Choice(newest, Configuration(), emptyList())
        val valid = combinations(active, refused, offered)
            .filter { isUsable(it, newest) && validator.check(it).isEmpty() }
            .maxWithOrNull(compareBy({ countAdvanced(it, active) }, { it.routes.revision + it.pools.revision + it.accounts.revision }))
        return Choice(valid ?: active, newest, findings)
    }

    private fun combinations(active: Configuration, refused: Configuration, offered: Configuration): List<Configuration> {
        val sources = listOf(active, refused, offered)
        val routes = sources.map { it.routes }.filter { it.revision >= active.routes.revision }.distinctBy { it.revision }
        val pools = sources.map { it.pools }.filter { it.revision >= active.pools.revision }.distinctBy { it.revision }
        val accounts = sources.map { it.accounts }.filter { it.revision >= active.accounts.revision }.distinctBy { it.revision }
        return routes.flatMap { r -> pools.flatMap { p -> accounts.map { a -> Configuration(r, p, a) } } }
    }

    /** A starting instance does not activate a pool table without its route table or vice versa: a peer may have a valid pair. */
    private fun isUsable(candidate: Configuration, newest: Configuration): Boolean {
        val routesMissing = candidate.routes.revision == 0L && newest.routes.revision > 0
        val poolsMissing = candidate.pools.revision == 0L && newest.pools.revision > 0
        return !routesMissing && !poolsMissing
    }

    private fun countAdvanced(candidate: Configuration, active: Configuration): Int =
        listOf(
            candidate.routes.revision > active.routes.revision,
            candidate.pools.revision > active.pools.revision,
            candidate.accounts.revision > active.accounts.revision,
        ).count { it }
}
