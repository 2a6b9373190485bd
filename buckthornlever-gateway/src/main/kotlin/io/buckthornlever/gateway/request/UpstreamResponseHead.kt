package io.buckthornlever.gateway.request

import java.time.Duration

/**
 * What the head of an upstream's answer says.
 *
 * @property requestId request that the answer belongs to
 * @property hasProofOfOrigin true when the answer carries the upstream's proof of origin
 * @property notRun true when the upstream says that the request did not and will not run
 * @property running requests that the upstream runs; null when it does not tell
 * @property waiting requests that wait at the upstream
 * @property coldFor how long the upstream stays cold; null when it does not tell
 */
public data class UpstreamResponseHead(
    val requestId: String?,
    val hasProofOfOrigin: Boolean,
    val notRun: Boolean,
    val running: Int?,
    val waiting: Int,
    val coldFor: Duration?,
)
