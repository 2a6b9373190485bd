package io.buckthornlever.core.request

import io.buckthornlever.api.process.InstanceId
import io.buckthornlever.api.process.ObjectVersion

/**
 * State of one instance's ownership of a job.
 *
 * @property self identity of the instance
 * @property desired record that the store should contain
 * @property fencing fencing token of this ownership
 * @property version version of the stored record; null until known
 * @property mustCreate true while the record still has to be created
 * @property maybeWritten true once a write of this ownership may have taken effect
 * @property operationOutstanding true while a store operation or a timer is outstanding
 * @property outstandingWrite record of the last write that is not confirmed yet
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
