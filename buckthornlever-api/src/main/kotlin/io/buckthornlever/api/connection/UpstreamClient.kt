package io.buckthornlever.api.connection

import com.github.michaelbull.result.Result
import io.buckthornlever.api.process.UpstreamSpec

/** Sends calls to upstreams, engines and plain services alike. */
public interface UpstreamClient {
    /** Sends [request] and returns once the head of the answer has arrived. */
    public fun call(
        upstream: UpstreamSpec,
        request: UpstreamRequest,
    ): Result<UpstreamResponse, UpstreamError>

    /** Reads the load that [upstream] reports. */
    public fun fetchLoad(upstream: UpstreamSpec): Result<LoadReport, UpstreamError>
}
