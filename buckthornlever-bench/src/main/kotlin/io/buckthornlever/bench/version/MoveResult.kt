package io.buckthornlever.bench.version

import java.time.Duration

/**
 * What the callers and the store saw of one simulated move.
 *
 * @property requests all requests between start and due time
 * @property onNew requests that went to the new version
 * @property harmed requests that the fault affected
 * @property shareBeforeVisible share of the new version up to the moment at which the fault was visible
 * @property lastOnNewAfterVisible time from the visible fault to the last request that went to the new version
 * @property doneAfter time from the start to the recorded end of a completed move
 * @property rolledBack whether the stored or, without the store, the local state says rolled back
 */
internal data class MoveResult(
    val scenario: MoveScenario,
    val requests: Int,
    val onNew: Int,
    val harmed: Int,
    val shareBeforeVisible: Double,
    val visible: Boolean,
    val lastOnNewAfterVisible: Duration?,
    val doneAfter: Duration?,
    val rolledBack: Boolean,
    val reason: String,
)
