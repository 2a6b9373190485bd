package io.buckthornlever.core.process.configuration.rules

import io.buckthornlever.api.process.Configuration
import io.buckthornlever.api.process.Finding
import io.buckthornlever.core.process.configuration.ConfigurationRule

/** Names are unique: routes, pools, accounts, and the upstreams of a pool. */
public class DuplicateNameRule : ConfigurationRule {
    override fun check(configuration: Configuration): List<Finding> =
        duplicates("routes", "name", configuration.routes.routes.map { it.name.value }) +
            duplicates("pools", "name", configuration.pools.pools.map { it.name.value }) +
            duplicates("accounts", "id", configuration.accounts.accounts.map { it.id.value }) +
            configuration.pools.pools.flatMapIndexed { index, pool ->
                duplicates("pools[$index].upstreams", "id", pool.upstreams.map { it.id.value })
            }

    private fun duplicates(list: String, field: String, names: List<String>): List<Finding> {
        val first = HashMap<String, Int>()
        return names.withIndex().mapNotNull { (index, name) ->
            first.putIfAbsent(name, index)?.let { Finding("$list[$index].$field", "'$name' is already used by $list[$it]") }
        }
    }
}
