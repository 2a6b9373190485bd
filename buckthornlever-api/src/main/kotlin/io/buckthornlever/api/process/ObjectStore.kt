package io.buckthornlever.api.process

import com.github.michaelbull.result.Result
import java.time.Duration

/** The platform's object API. Every call counts against its rate limit; a watch counts as one call, however long it waits. */
public interface ObjectStore {
    /** Reads one object; fails with [StoreError.NotFound] when it does not exist. */
    public fun get(key: ObjectKey): Result<StoredObject, StoreError>

    /** Creates an object; fails with [StoreError.Conflict] when the key exists. */
    public fun create(
        key: ObjectKey,
        value: String,
    ): Result<ObjectVersion, StoreError>

    /** Replaces the object if its current version is [expected]. */
    public fun update(
        key: ObjectKey,
        value: String,
        expected: ObjectVersion,
    ): Result<ObjectVersion, StoreError>

    /** Deletes the object if its current version is [expected]. */
    public fun delete(
        key: ObjectKey,
        expected: ObjectVersion,
    ): Result<Unit, StoreError>

    /** Reads all objects whose key starts with [prefix]. */
    public fun list(prefix: String): Result<ObjectListing, StoreError>

    /** Waits up to [wait] for changes after [since] under [prefix]; returns an empty listing when there were none. */
    public fun watch(
        prefix: String,
        since: ObjectVersion,
        wait: Duration,
    ): Result<ObjectListing, StoreError>
}
