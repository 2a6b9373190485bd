package io.buckthornlever.core.process.configuration.rules

import io.buckthornlever.api.process.Configuration
import io.buckthornlever.api.process.Finding
import io.buckthornlever.api.process.Pool
import io.buckthornlever.api.version.VersionLabel
import io.buckthornlever.core.process.configuration.ConfigurationRule

/** A version move goes between two different versions that the pool allows or whose upstreams it lists. */
public class MoveVersionsRule : ConfigurationRule {
    override fun check(configuration: Configuration): List<Finding> =
        configuration.pools.pools.flatMapIndexed { index, pool -> check("pools[$index].move", pool) }

    private fun check(path: String, pool: Pool): List<Finding> {
        val move = pool.move ?: return emptyList()
        val known = pool.versions.ifEmpty { pool.upstreams.map { it.version } }.toSet()
        val same = if (move.from == move.to) Finding("$path.to", "'${move.to}' is also the version to move from") else null
        return listOfNotNull(unknown("$path.from", move.from, known), unknown("$path.to", move.to, known), same)
    }

    private fun unknown(path: String, version: VersionLabel, known: Set<VersionLabel>): Finding? =
        if (version in known) null else Finding(path, "'$version' is not a version of the pool")
}
