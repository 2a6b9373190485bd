package io.buckthornlever.api.serving

import io.buckthornlever.api.process.AccountId
import kotlinx.serialization.Serializable
import kotlinx.serialization.Transient

/**
 * A consistent version of all routes, services, client accounts and caller limits.
 *
 * @property version increases with every change, but not always by one
 */
@Serializable
public data class ServingTable(
    val version: Long,
    val routes: List<ServedRoute>,
    val services: List<ServedService>,
    val accounts: List<ServedAccount>,
    val limits: CallerLimits = CallerLimits(),
) {
    @Transient
    private val byHost: Map<String, List<ServedRoute>> =
        routes.groupBy { it.host.lowercase() }.mapValues { (_, all) -> all.sortedByDescending { it.pathPrefix.length } }

    @Transient
    private val byKey: Map<String, ServedAccount> = accounts.flatMap { account -> account.keys.map { it to account } }.toMap()

    @Transient
    private val byAccount: Map<AccountId, ServedAccount> = accounts.associateBy { it.id }

    @Transient
    private val byService: Map<String, ServedService> = services.associateBy { it.name }

    /** Route of [host] with the longest prefix of [path], or null. */
    public fun route(
        host: String,
        path: String,
    ): ServedRoute? = byHost[host.lowercase()]?.firstOrNull { path.startsWith(it.pathPrefix) }

    /** Client account to which the API key [key] belongs, or null. */
    public fun account(key: String): ServedAccount? = byKey[key]

    /** Client account with the identity [id], or null. */
    public fun account(id: AccountId): ServedAccount? = byAccount[id]

    /** Service named [name], or null. */
    public fun service(name: String): ServedService? = byService[name]
}
