package io.buckthornlever.api.process

import com.github.michaelbull.result.Result

/** The platform's list of instances; it is out of date by seconds. */
public interface InstanceList {
    /** Returns all live and leaving instances that the platform currently knows. */
    public fun instances(): Result<List<PlatformInstance>, PlatformError>
}
