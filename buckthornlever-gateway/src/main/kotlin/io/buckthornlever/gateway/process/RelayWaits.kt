package io.buckthornlever.gateway.process

import io.buckthornlever.api.serving.StateKind
import java.time.Duration

/**
 * Wait times of relays and their followers. They bound how late a follower learns of a change when its relay hangs or is cut off
 * from the store: [maxAge] plus one tick of the gateway. For upstreams this is below two seconds, the time after which an upstream
 * that is leaving must not get any more requests.
 */
internal object RelayWaits {
    /** For the two kinds whose changes must take effect within a tight bound; shorter than the usual wait of a watch. */
    private val TIGHT: Duration = Duration.ofMillis(600)
    private val LOOSE: Duration = Duration.ofSeconds(2)

    /** For kinds whose changes need not take effect within a bound. */
    private val SLOW: Duration = Duration.ofSeconds(6)

    /** Longest wait of a store watch by an instance that others may follow. */
    fun relayWait(kind: StateKind): Duration = wait(kind)

    /** Longest wait of a request to a relay. */
    fun followerWait(kind: StateKind): Duration = wait(kind)

    /**
     * Age beyond which a relay does not serve its state any more: two watches, the pause after a watch that has brought changes, and the
     * time for both responses. Without the pause, a watch that ended late with changes made a relay refuse in normal operation.
     */
    fun maxAge(kind: StateKind): Duration = relayWait(kind).multipliedBy(2).plusMillis(StateFeed.BATCH_DELAY_MILLIS + RESPONSE_MILLIS)

    private fun wait(kind: StateKind): Duration =
        when (kind) {
            StateKind.UPSTREAMS, StateKind.SERVING_TABLE -> TIGHT
            StateKind.INSTANCES, StateKind.QUOTA_HOLDINGS -> SLOW
            else -> LOOSE
        }

    /** Two responses of the store to a process with a third of a core. */
    private const val RESPONSE_MILLIS = 250L
}
