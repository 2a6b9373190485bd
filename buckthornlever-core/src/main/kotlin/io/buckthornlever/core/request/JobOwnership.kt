package io.buckthornlever.core.request

import io.buckthornlever.api.process.InstanceId
import io.buckthornlever.api.process.ObjectVersion

/**
 * One instance's ownership of a job.
 *
 * @property self identity of the instance
 * @property desired record that the store is to contain
 * @property fencing number of this ownership
 * @property version version of the stored record; null before it is known
 * @property mustCreate true while the record has to be created
 * @property maybeWritten true once a write of this ownership may have taken effect
 * @property operationOutstanding true while a store operation or a wait is outstanding
 * @property outstandingWrite record of the outstanding write
 * @property failures failed store operations in a row
 */
public data class JobOwnership(
    val self: InstanceId,
    val desired: JobRecord,
    val fencing: Long = desired.fencing,
    val version: ObjectVersion? = null,
    val mustCreate: Boolean = true,
    val phase: JobPhase = JobPhase.CLAIMING,
    val maybeWritten: Boolean = false,
    val operationOutstanding: Boolean = false,
    val outstandingWrite: JobRecord? = null,
    val failures: Int = 0,
)
