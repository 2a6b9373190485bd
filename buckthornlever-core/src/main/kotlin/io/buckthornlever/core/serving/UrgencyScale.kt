package io.buckthornlever.core.serving

import io.buckthornlever.api.serving.ServingTable

/**
 * Maps the priorities of requests to the scale of the engines, 0 (first) to 9. Long streams with priority 0 and short streams with
 * priority 1 or 2 share the engines of a site, and a table or an account may use any integers. Ranks therefore replace the integers:
 * those of effective and route priority together where they fit the scale, or else those of the effective priority.
 *
 * All instances with the same [table] compute the same ranks. Services without engines, and those whose routes all have the same
 * priority, have no scale.
 */
public class UrgencyScale(
    private val table: ServingTable,
) {
    private val scales: Map<String, List<RequestPriority>> =
        table.services
            .filter { it.engine }
            .map { it.name }
            .associateWith(::scaleOf)
            .filterValues { it.isNotEmpty() }

    /** Urgency of a request with [priority] to [service]; null if its engines are not told the priority. */
    public fun urgency(
        service: String,
        priority: RequestPriority,
    ): Int? {
        val scale = scales[service] ?: return null
        // The account or route may have changed since the request was admitted, so it need not be an element of the scale.
        val rank = if (scale.size <= LEVELS) scale.count { it < priority } else effectiveRank(scale, priority)
        return minOf(rank, LEVELS - 1)
    }

    private fun scaleOf(service: String): List<RequestPriority> {
        val routes = table.routes.filter { route -> route.services.any { it.service == service } }
        val routePriorities = routes.map { it.priority }.distinct()
        if (routePriorities.size < 2) return emptyList()
        val accountPriorities = table.accounts.mapNotNull { it.priority }.distinct()
        val pairs = accountPriorities.flatMap { account -> routePriorities.map { RequestPriority(account, it) } }
        return (routePriorities.map { RequestPriority(it) } + pairs).distinct().sorted()
    }

    private fun effectiveRank(
        scale: List<RequestPriority>,
        priority: RequestPriority,
    ): Int = scale.mapTo(HashSet()) { it.effective }.count { it < priority.effective }

    private companion object {
        /** Number of urgencies that engines distinguish. */
        const val LEVELS = 10
    }
}
