package io.buckthornlever.core.request

import io.buckthornlever.api.process.InstanceId
import io.buckthornlever.api.process.ObjectVersion

/**
 * One instance's ownership of a job.
 *
 * @property self identity of the instance
 * @property target record that the store is to contain
 * @property fencing number of this ownership
 * @property version version of the stored record; null before it is known
 * @property fresh true while the record has to be created
 * @property maybeWritten true once a write of this ownership may have taken effect
 * @property busy true while a store operation or a wait is outstanding
 * @property writing record of the outstanding write
 * @property tries failed store operations in a row
 */
public data class JobOwnership(
    val self: InstanceId,
    val target: JobRecord,
    val fencing: Long = target.fencing,
    val version: ObjectVersion? = null,
    val fresh: Boolean = true,
    val phase: JobPhase = JobPhase.CLAIMING,
    val maybeWritten: Boolean = false,
    val busy: Boolean = false,
    val writing: JobRecord? = null,
    val tries: Int = 0,
)
