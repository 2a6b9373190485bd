@file:UseSerializers(DurationSerializer::class)

package io.buckthornlever.api.serving

import kotlinx.serialization.Serializable
import kotlinx.serialization.UseSerializers
import java.time.Duration

/**
 * Says where requests of one host and path prefix go.
 *
 * @property pathPrefix begins and ends with a slash
 * @property timeout longest time for which a request is kept waiting
 * @property targetLatency time to the answer, or to the first event of a stream, that earns full credit
 * @property longestPause longest silence between two events of a stream that is on time; null when the route has none
 * @property priority 0 is served first
 * @property services targets with their weights, never empty
 * @property maxAttempts largest number of upstreams that may run one request of a caller
 * @property public true when the route needs no key
 * @property resumable true when a broken stream may go on at another upstream
 */
@Serializable
public data class ServedRoute(
    val name: String,
    val host: String,
    val pathPrefix: String,
    val kind: RequestKind,
    val timeout: Duration,
    val targetLatency: Duration,
    val longestPause: Duration?,
    val priority: Int,
    val services: List<WeightedService>,
    val maxAttempts: Int,
    val public: Boolean,
    val resumable: Boolean,
) {
    /** True when a second run of the same request does no harm. */
    val repeatable: Boolean get() = kind == RequestKind.SAFE || (kind == RequestKind.STREAM && resumable)
}
