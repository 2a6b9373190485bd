package io.buckthornlever.standin.process

/**
 * Limits of an [ObjectStoreStandIn].
 *
 * @property writesPerSecond creations, updates and deletions per second
 * @property readsPerSecond reads, lists and watches per second
 * @property maxValueBytes largest value, in bytes
 * @property maxThreads threads that handle requests; a waiting watch occupies one
 */
public data class ObjectStoreConfig(
    val writesPerSecond: Int = 400,
    val readsPerSecond: Int = 2_000,
    val maxValueBytes: Int = 1_000_000,
    val maxThreads: Int = 300,
)
