package io.buckthornlever.api.connection

import com.github.michaelbull.result.Result
import io.buckthornlever.api.process.UpstreamSpec
import io.buckthornlever.api.request.RequestId

/** Control interface of model engines, separate from the requests that they serve. */
public interface EngineControl {
    /** Sends [order] to the engine; fails with [UpstreamError.Refused] and status 409 when its fencing token is outdated. */
    public fun order(
        upstream: UpstreamSpec,
        order: EngineOrder,
    ): Result<Unit, UpstreamError>

    /** Cancels [request]; succeeds when it has already ended. */
    public fun cancel(
        upstream: UpstreamSpec,
        request: RequestId,
    ): Result<Unit, UpstreamError>

    /** Exports the KV cache of a running request. */
    public fun exportKv(
        upstream: UpstreamSpec,
        request: RequestId,
    ): Result<KvHandle, UpstreamError>

    /** Imports an exported KV cache. */
    public fun importKv(
        upstream: UpstreamSpec,
        handle: KvHandle,
    ): Result<Unit, UpstreamError>

    /** Returns the cache events with a sequence number greater than [since]. */
    public fun cacheEvents(
        upstream: UpstreamSpec,
        since: Long,
    ): Result<List<CacheEvent>, UpstreamError>
}
