@file:UseSerializers(DurationSerializer::class)

package io.buckthornlever.api.serving

import kotlinx.serialization.Serializable
import kotlinx.serialization.UseSerializers
import java.time.Duration

/**
 * Routing rule for the requests of one host and path prefix.
 *
 * @property pathPrefix prefix of the request path; begins and ends with a slash
 * @property kind decides which requests may be retried
 * @property timeout longest time for which a request is kept waiting
 * @property targetLatency time to the response, or to the first event of a stream, within which a response gets full credit
 * @property longestPause longest time between two events of a stream that still counts as on time; null when the route has no such limit
 * @property priority priority of the requests; 0 is served first
 * @property services target services with their weights; never empty
 * @property maxAttempts largest number of upstreams to which one request of a caller may be sent
 * @property public true when callers need no API key
 * @property resumable true when a broken stream may be resumed on another upstream
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
    /** True when the same request may be executed more than once. */
    val repeatable: Boolean get() = kind == RequestKind.SAFE || (kind == RequestKind.STREAM && resumable)
}
