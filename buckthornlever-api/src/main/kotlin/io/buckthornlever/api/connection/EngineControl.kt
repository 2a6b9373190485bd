package io.buckthornlever.api.connection

import com.github.michaelbull.result.Result
import io.buckthornlever.api.process.UpstreamSpec
import io.buckthornlever.api.request.RequestId

/** Control interface of model engines, apart from the calls themselves. */
public interface EngineControl {
    /** Gives [order]; [UpstreamError.Refused] with status 409 when its fencing number is old. */
    public fun order(
        upstream: UpstreamSpec,
        order: EngineOrder,
    ): Result<Unit, UpstreamError>

    /** Stops the request; succeeds when it has already ended. */
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

    /** Cache events with a sequence number greater than [since]. */
    public fun cacheEvents(
        upstream: UpstreamSpec,
        since: Long,
    ): Result<List<CacheEvent>, UpstreamError>
}
