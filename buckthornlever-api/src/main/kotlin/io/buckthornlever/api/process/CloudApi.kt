package io.buckthornlever.api.process

import com.github.michaelbull.result.Result

/** The cloud's interface for instances. */
public interface CloudApi {
    /** Starts one instance, or returns the one that an earlier call with the same request id started. */
    public fun start(request: CloudStartRequest): Result<CloudInstance, PlatformError>

    /** Ends an instance; succeeds when it is already gone. */
    public fun stop(instanceId: String): Result<Unit, PlatformError>

    /** All instances of this site. */
    public fun instances(): Result<List<CloudInstance>, PlatformError>

    /** Reclaim notices with a sequence number greater than [since]. */
    public fun notices(since: Long): Result<List<CloudNotice>, PlatformError>

    /** Current prices. */
    public fun prices(): Result<List<CloudPrice>, PlatformError>
}
