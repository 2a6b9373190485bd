package io.buckthornlever.api.process

import com.github.michaelbull.result.Result

/** The cloud provider's API for starting, stopping and listing instances. */
public interface CloudApi {
    /** Starts one instance, or returns the one that an earlier call with the same request id started. */
    public fun start(request: CloudStartRequest): Result<CloudInstance, PlatformError>

    /** Stops an instance; succeeds when it no longer exists. */
    public fun stop(instanceId: String): Result<Unit, PlatformError>

    /** Returns all instances of this site. */
    public fun instances(): Result<List<CloudInstance>, PlatformError>

    /** Returns the reclaim notices with a sequence number greater than [since]. */
    public fun notices(since: Long): Result<List<CloudNotice>, PlatformError>

    /** Returns the current prices. */
    public fun prices(): Result<List<CloudPrice>, PlatformError>
}
