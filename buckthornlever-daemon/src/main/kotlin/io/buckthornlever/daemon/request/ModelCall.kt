package io.buckthornlever.daemon.request

import io.buckthornlever.api.process.Configuration
import io.buckthornlever.api.process.Route
import io.buckthornlever.api.request.RequestId
import io.buckthornlever.core.process.Fingerprint

/**
 * A completion to generate, for a waiting caller or for a job.
 *
 * @property configuration returns the tables in effect, which can change several times during a long call
 * @property relayIndex index of the first token to relay; the caller already has all earlier ones
 * @property shouldHandOver true once this instance is leaving and another one should continue the call
 */
internal class ModelCall(
    val id: RequestId,
    val path: String,
    val route: Route,
    val fingerprint: Fingerprint,
    val deadlineNanos: Long,
    val configuration: () -> Configuration,
    val relayIndex: Int = 0,
    val shouldHandOver: () -> Boolean = { false },
)
