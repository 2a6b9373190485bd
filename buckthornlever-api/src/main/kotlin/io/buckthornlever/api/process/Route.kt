package io.buckthornlever.api.process

import io.buckthornlever.api.request.WorkClass
import kotlinx.serialization.Serializable

/**
 * Routing rule for a class of requests.
 *
 * @property pools names of the target pools, most preferred first
 * @property timeoutMillis longest time for the whole response, in milliseconds
 * @property progressTimeoutMillis longest time without any byte from the upstream, in milliseconds
 * @property maxBodyBytes largest request body, in bytes
 * @property retryBudgetPercent largest number of retries relative to the number of requests, in percent
 */
@Serializable
public data class Route(
    val name: RouteName,
    val match: RouteMatch,
    val kind: ServiceKind,
    val workClass: WorkClass,
    val pools: List<PoolName>,
    val timeoutMillis: Long = DEFAULT_TIMEOUT_MILLIS,
    val progressTimeoutMillis: Long = DEFAULT_PROGRESS_TIMEOUT_MILLIS,
    val maxBodyBytes: Long = DEFAULT_MAX_BODY_BYTES,
    val retryBudgetPercent: Int = DEFAULT_RETRY_BUDGET_PERCENT,
) {
    public companion object {
        /** Default of [timeoutMillis]. */
        public const val DEFAULT_TIMEOUT_MILLIS: Long = 120_000

        /** Default of [progressTimeoutMillis]. */
        public const val DEFAULT_PROGRESS_TIMEOUT_MILLIS: Long = 5_000

        /** Default of [maxBodyBytes]. */
        public const val DEFAULT_MAX_BODY_BYTES: Long = 1_000_000

        /** Default of [retryBudgetPercent]. */
        public const val DEFAULT_RETRY_BUDGET_PERCENT: Int = 20
    }
}
