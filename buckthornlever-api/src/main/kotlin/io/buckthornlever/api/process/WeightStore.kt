package io.buckthornlever.api.process

import com.github.michaelbull.result.Result
import io.buckthornlever.api.version.VersionLabel

/** The rate-limited store of model weights. */
public interface WeightStore {
    /** Reads the weights of one version of a model; fails with [PlatformError.RateLimited] when the rate limit is exceeded. */
    public fun fetch(
        model: String,
        version: VersionLabel,
    ): Result<ByteArray, PlatformError>
}
