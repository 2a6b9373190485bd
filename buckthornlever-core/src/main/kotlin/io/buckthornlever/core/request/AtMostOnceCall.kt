package io.buckthornlever.core.request

import io.buckthornlever.api.process.ObjectKey
import io.buckthornlever.api.process.ObjectVersion

/**
 * State of one submission of a non-repeatable call.
 *
 * @property token unique identifier of this submission
 * @property recordSeen true while a record, of this or another submission, is known to exist under the key
 * @property maybeWritten true once a write of this submission may have taken effect
 * @property failures failed store operations in the current phase
 * @property polls reads made while another submission was running
 * @property version version of this submission's record; null until known
 * @property result record to write in [AtMostOncePhase.RECORDING]
 */
public data class AtMostOnceCall(
    val key: ObjectKey,
    val token: String,
    val bodySha256: String,
    val startedAtMillis: Long,
    val phase: AtMostOncePhase = AtMostOncePhase.CREATING,
    val recordSeen: Boolean = false,
    val maybeWritten: Boolean = false,
    val failures: Int = 0,
    val polls: Int = 0,
    val version: ObjectVersion? = null,
    val result: AtMostOnceRecord? = null,
)
