package io.buckthornlever.gateway.request

import io.buckthornlever.core.serving.PoisonPartTracker
import io.buckthornlever.core.serving.PoisonRequestTracker

/** Tells which requests must not run, since they have crashed upstreams before or share what crashes them. */
internal class PoisonGuard(
    val requests: PoisonRequestTracker,
    val parts: PoisonPartTracker,
) {
    /** Reason to refuse a request with the content [fingerprint] and the shared prompt parts [sharedParts]; null if it may run. */
    fun refusalReason(
        fingerprint: Long,
        sharedParts: List<Long>,
    ): String? =
        when {
            requests.isBlocked(fingerprint) -> "its content broke off earlier runs"
            parts.blocks(sharedParts) -> "a part of its prompt crashes upstreams"
            else -> null
        }
}
