package io.buckthornlever.core.serving

import io.buckthornlever.api.serving.ServedAccount
import io.buckthornlever.api.serving.ServedRoute

/**
 * Priority of a request; lower values are served first.
 *
 * @property effective priority of the client account, or else of the route
 * @property route priority of the route, which decides between requests with the same [effective] priority
 */
public data class RequestPriority(
    val effective: Int,
    val route: Int = effective,
) : Comparable<RequestPriority> {
    override fun compareTo(other: RequestPriority): Int = compareValuesBy(this, other, { it.effective }, { it.route })

    public companion object {
        /** Priority of a request of [account] on [route]. */
        public fun of(
            route: ServedRoute,
            account: ServedAccount?,
        ): RequestPriority = RequestPriority(account?.priority ?: route.priority, route.priority)
    }
}
