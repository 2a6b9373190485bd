package io.buckthornlever.api.process

import com.github.michaelbull.result.Result
import io.buckthornlever.api.version.VersionLabel

/** The rate-limited store of model weights. */
public interface WeightStore {
    /** Reads the weights of one version; [PlatformError.RateLimited] when the call budget is used up. */
    public fun fetch(
        model: String,
        version: VersionLabel,
    ): Result<ByteArray, PlatformError>
}
