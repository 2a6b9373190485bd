package io.buckthornlever.core.serving

import io.buckthornlever.api.process.AccountId
import io.buckthornlever.api.serving.ServedRoute

/** One request of a caller in [OverloadSimulation], with what became of it. */
internal class OverloadCall(
    val route: ServedRoute,
    val account: AccountId,
    val promptTokens: Int,
    val arrivedMillis: Long,
) {
    var attempts = 0
    var firstMillis: Long? = null
    var lastMillis: Long? = null
    var refusedMillis: Long? = null

    val deadlineMillis: Long get() = arrivedMillis + route.timeout.toMillis()

    val isServed: Boolean get() = lastMillis?.let { it <= deadlineMillis } ?: false

    val isOnTime: Boolean get() = isServed && checkNotNull(firstMillis) <= arrivedMillis + route.targetLatency.toMillis()
}
