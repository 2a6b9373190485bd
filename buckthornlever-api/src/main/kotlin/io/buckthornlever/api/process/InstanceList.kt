package io.buckthornlever.api.process

import com.github.michaelbull.result.Result

/** The platform's list of instances; it lags behind reality by seconds. */
public interface InstanceList {
    /** All live and leaving instances that the platform knows now. */
    public fun instances(): Result<List<PlatformInstance>, PlatformError>
}
