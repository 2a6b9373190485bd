package io.buckthornlever.core.request

import io.buckthornlever.api.process.ObjectKey
import io.buckthornlever.api.process.ObjectVersion

/**
 * State of one submission of a non-repeatable call.
 *
 * @property token identity of this submission; never used by another one
 * @property recordSeen true once a record of any submission is known to exist under the key
 * @property maybeWritten true once a write of this submission may have taken effect
 * @property failures failed store operations in the current phase
 * @property polls reads made while another submission was running
 * @property version version of this submission's record, when known
 * @property result record to be written in [AtMostOncePhase.RECORDING]
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
