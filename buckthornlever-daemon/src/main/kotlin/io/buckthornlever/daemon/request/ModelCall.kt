package io.buckthornlever.daemon.request

import io.buckthornlever.api.process.Configuration
import io.buckthornlever.api.process.Route
import io.buckthornlever.api.request.RequestId
import io.buckthornlever.core.process.Fingerprint

/**
 * One completion to be produced, for a waiting caller or for a job.
 *
 * @property configuration gives the tables in effect; a long call outlives several of them
 * @property relayIndex index of the first token that the caller does not have yet
 * @property shouldHandOver true once this instance leaves and another one is to continue the call
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
