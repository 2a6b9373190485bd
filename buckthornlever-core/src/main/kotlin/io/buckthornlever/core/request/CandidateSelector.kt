package io.buckthornlever.core.request

import io.buckthornlever.api.process.UpstreamSpec

/** Chooses the upstream for one attempt of a request. */
public fun interface CandidateSelector {
    /** The upstream to use, or null if no upstream can take the request. */
    public fun select(query: SelectionQuery): UpstreamSpec?
}
