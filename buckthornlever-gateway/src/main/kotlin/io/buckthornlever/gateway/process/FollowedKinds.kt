package io.buckthornlever.gateway.process

import io.buckthornlever.api.serving.StateKind
import io.buckthornlever.core.serving.LapseGracePeriod
import io.buckthornlever.core.serving.TableAgeLimits
import java.time.Duration

/** Kinds of objects that every instance follows and can relay, with the times that a [StateFeed] keeps for each. */
internal object FollowedKinds {
    val ALL: List<StateKind> =
        listOf(
            StateKind.SERVING_TABLE,
            StateKind.UPSTREAMS,
            StateKind.EVACUATIONS,
            StateKind.VERSION_ORDERS,
            StateKind.INSTANCES,
            StateKind.QUOTA_HOLDINGS,
        )

    /** Longest wait of a watch; shorter for kinds where a silent connection must be detected faster. */
    fun watchWait(
        kind: StateKind,
        limits: TableAgeLimits,
    ): Duration =
        when (kind) {
            StateKind.SERVING_TABLE -> Duration.ofMillis((limits.readiness.toMillis() * CONFIRMATION_FRACTION).toLong())
            StateKind.UPSTREAMS -> UPSTREAMS_WATCH_WAIT
            else -> SLOW_WATCH_WAIT
        }

    /** Time for which an object is kept that the store has lost by a restore. */
    fun lostGrace(kind: StateKind): Duration =
        when (kind) {
            // Their registrations lapse, see [LapseGracePeriod].
            StateKind.UPSTREAMS -> Duration.ZERO
            // Only this system writes them.
            StateKind.QUOTA_HOLDINGS -> Duration.ZERO
            else -> LOST_GRACE
        }

    /** Watch wait as a fraction of the age beyond which the instance is not ready; one lost response must not make it unready. */
    private const val CONFIRMATION_FRACTION = 0.4
    private val UPSTREAMS_WATCH_WAIT: Duration = Duration.ofMillis(1_500)
    private val SLOW_WATCH_WAIT: Duration = Duration.ofSeconds(6)

    /** Time for operators and instances to write again what a restored store has lost. */
    private val LOST_GRACE: Duration = Duration.ofSeconds(5)
}
