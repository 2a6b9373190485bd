package io.buckthornlever.core.serving

import io.buckthornlever.api.serving.VersionOrder
import io.buckthornlever.api.version.VersionLabel

/**
 * Versions that operators have ordered services to move to. They get no requests while another version can serve, since nothing has
 * shown yet that they are good. Not thread-safe.
 */
public class PendingVersions {
    private val targets = HashMap<String, VersionLabel>()

    /** Number of services with an order. */
    public val size: Int get() = targets.size

    /** Records that [order] was given. */
    public fun onOrder(order: VersionOrder) {
        targets[order.service] = order.target
    }

    /** Records that the order for [service] was withdrawn. */
    public fun onWithdrawn(service: String) {
        targets.remove(service)
    }

    /** Version of [service] that gets no requests while another one can serve; null if there is none. */
    public fun targetOf(service: String): VersionLabel? = targets[service]
}
