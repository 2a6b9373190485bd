package io.buckthornlever.core.request

import io.buckthornlever.api.connection.UpstreamId

/** Verdict on one candidate, with its load and capacity at the time of the decision. */
public data class CandidateVerdict(
    val upstream: UpstreamId,
    val verdict: Verdict,
    val load: Int,
    val capacity: Int,
)
