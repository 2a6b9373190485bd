package io.buckthornlever.bench.version

import io.buckthornlever.api.version.MoveState
import io.buckthornlever.api.version.MoveStatus
import java.time.Duration
import java.time.Instant

/** Records what callers see of one move. The fault counts as visible once [VISIBLE_AFTER] affected responses have arrived. */
internal class MoveLog(
    private val start: Instant,
    private val due: Instant,
) {
    private var requests = 0
    private var onNew = 0
    private var harmed = 0
    private var visibleAt: Instant? = null
    private var shareBeforeVisible = 0.0
    private var lastOnNew: Instant? = null
    private var doneAt: Instant? = null

    fun dispatched(
        now: Instant,
        new: Boolean,
    ) {
        if (new) lastOnNew = now
        if (now < start || now > due) return
        requests++
        if (new) onNew++
    }

    fun responded(
        now: Instant,
        affected: Boolean,
    ) {
        if (!affected) return
        harmed++
        if (harmed != VISIBLE_AFTER) return
        visibleAt = now
        shareBeforeVisible = onNew.toDouble() / maxOf(1, requests)
    }

    fun ended(
        now: Instant,
        stored: MoveStatus?,
    ) {
        if (doneAt == null && stored?.state == MoveState.DONE) doneAt = now
    }

    fun result(
        scenario: MoveScenario,
        stored: MoveStatus?,
        rolledBack: Boolean,
    ): MoveResult {
        val seen = visibleAt
        return MoveResult(
            scenario = scenario,
            requests = requests,
            onNew = onNew,
            harmed = harmed,
            shareBeforeVisible = if (seen == null) onNew.toDouble() / maxOf(1, requests) else shareBeforeVisible,
            visible = seen != null,
            lastOnNewAfterVisible = lastOnNew?.let { last -> seen?.let { Duration.between(it, last) } },
            doneAfter = doneAt?.let { Duration.between(start, it) },
            rolledBack = rolledBack,
            reason = stored?.reasons?.joinToString().orEmpty(),
        )
    }

    companion object {
        /** Affected responses over all callers after which an observer of all of them can tell the fault from chance. */
        const val VISIBLE_AFTER = 25
    }
}
