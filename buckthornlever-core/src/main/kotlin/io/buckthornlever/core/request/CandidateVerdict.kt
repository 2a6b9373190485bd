package io.buckthornlever.core.request

import io.buckthornlever.api.connection.UpstreamId

/** What became of one candidate, with the figures at the time of the decision. */
public data class CandidateVerdict(
    val upstream: UpstreamId,
    val verdict: Verdict,
    val load: Int,
    val capacity: Int,
)
