package io.buckthornlever.standin.process

import io.buckthornlever.api.process.PlatformInstance

/** The list of instances that is true from a point of the monotonic clock on. */
internal data class ListedInstances(
    val sinceNanos: Long,
    val instances: List<PlatformInstance>,
)
