package io.buckthornlever.api.connection

import com.github.michaelbull.result.Result
import io.buckthornlever.api.process.UpstreamSpec

/** Sends requests to upstreams, both model engines and plain HTTP services. */
public interface UpstreamClient {
    /** Sends [request] and returns once the head of the response has arrived. */
    public fun call(
        upstream: UpstreamSpec,
        request: UpstreamRequest,
    ): Result<UpstreamResponse, UpstreamError>

    /** Fetches the load report of [upstream]. */
    public fun fetchLoad(upstream: UpstreamSpec): Result<LoadReport, UpstreamError>
}
