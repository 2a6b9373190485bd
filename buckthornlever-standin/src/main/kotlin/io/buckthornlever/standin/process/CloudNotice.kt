package io.buckthornlever.standin.process

import java.time.Instant

/** Announcement that an instance will be reclaimed at [endsAt]. */
internal data class CloudNotice(
    val sequence: Long,
    val instanceId: String,
    val failureDomain: String,
    val endsAt: Instant,
)
