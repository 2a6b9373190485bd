package io.buckthornlever.cli.process

import io.buckthornlever.api.process.ClientAccount
import io.buckthornlever.api.process.Pool
import io.buckthornlever.api.process.Route
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject

/** Compares tables by the names of their entries. */
internal object ConfigurationChanges {
    private val json = Json { encodeDefaults = true }

    /** Returns one line for each difference between [inForce] and [proposed], in the tables that both contain. */
    fun between(
        inForce: ConfigurationTables,
        proposed: ConfigurationTables,
    ): List<String> =
        compare(inForce.routes, proposed.routes) { old, new ->
            val oldRoutes = old.routes.associate { it.name.value to json.encodeToJsonElement(Route.serializer(), it) }
            val newRoutes = new.routes.associate { it.name.value to json.encodeToJsonElement(Route.serializer(), it) }
            entries("route", oldRoutes, newRoutes) + order(oldRoutes.keys, newRoutes.keys)
        } +
            compare(inForce.pools, proposed.pools) { old, new ->
                val oldPools = old.pools.associate { it.name.value to json.encodeToJsonElement(Pool.serializer(), it) }
                val newPools = new.pools.associate { it.name.value to json.encodeToJsonElement(Pool.serializer(), it) }
                val oldOut = old.domainsOut.map { it.value }
                val newOut = new.domainsOut.map { it.value }
                entries("pool", oldPools, newPools) +
                    (oldOut - newOut.toSet()).map { "- domainsOut '$it'" } + (newOut - oldOut.toSet()).map { "+ domainsOut '$it'" }
            } +
            compare(inForce.accounts, proposed.accounts) { old, new ->
                val oldAccounts = old.accounts.associate { it.id.value to json.encodeToJsonElement(ClientAccount.serializer(), it) }
                val newAccounts = new.accounts.associate { it.id.value to json.encodeToJsonElement(ClientAccount.serializer(), it) }
                entries("account", oldAccounts, newAccounts)
            }

    private fun <T : Any> compare(
        old: T?,
        new: T?,
        changes: (T, T) -> List<String>,
    ): List<String> = if (old == null || new == null) emptyList() else changes(old, new)

    private fun entries(
        what: String,
        old: Map<String, JsonElement>,
        new: Map<String, JsonElement>,
    ): List<String> =
        (old.keys - new.keys).map { "- $what '$it'" } +
            (new.keys - old.keys).map { "+ $what '$it'" } +
            old.keys.intersect(new.keys).flatMap { fields("$what '$it'", old.getValue(it), new.getValue(it)) }

    private fun fields(
        path: String,
        old: JsonElement,
        new: JsonElement,
    ): List<String> {
        if (old == new) return emptyList()
        if (old !is JsonObject || new !is JsonObject) return listOf("~ $path: $old -> $new")
        return (old.keys + new.keys).flatMap { key ->
            val before = old[key]
            val after = new[key]
            if (before == null || after == null) listOf("~ $path.$key: $before -> $after") else fields("$path.$key", before, after)
        }
    }

    /** Among routes whose conditions are alike, the first one listed is used. */
    private fun order(
        old: Set<String>,
        new: Set<String>,
    ): List<String> = if (old.filter { it in new } == new.filter { it in old }) emptyList() else listOf("~ routes: in another order")
}
