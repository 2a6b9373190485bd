package io.buckthornlever.gateway.process

import io.buckthornlever.api.serving.StateKind
import java.time.Duration

/**
 * Times of relays and their followers. Together they bound how late a follower learns of a change when its relay stands still or
 * is cut from the store: the longest age plus a tick of the gateway, which is below the two seconds in which an upstream that
 * leaves must get no more requests.
 */
internal object RelayWaits {
    /** Part of the usual wait that keeps the two kinds with tight bounds fresh. */
    private val TIGHT: Duration = Duration.ofMillis(600)
    private val LOOSE: Duration = Duration.ofSeconds(2)

    /** For kinds of which nothing has to be in force within a bound. */
    private val SLOW: Duration = Duration.ofSeconds(6)

    /** Longest wait of a watch of the store by an instance that others may follow. */
    fun relayWait(kind: StateKind): Duration = wait(kind)

    /** Longest wait of a question to a relay. */
    fun followerWait(kind: StateKind): Duration = wait(kind)

    /** Age beyond which a relay does not vouch for what it knows: two watches and an answer time. */
    fun maxAge(kind: StateKind): Duration = relayWait(kind).multipliedBy(2).plusMillis(RESPONSE_MILLIS)

    private fun wait(kind: StateKind): Duration =
        when (kind) {
            StateKind.UPSTREAMS, StateKind.SERVING_TABLE -> TIGHT
            StateKind.INSTANCES, StateKind.QUOTA_HOLDINGS -> SLOW
            else -> LOOSE
        }

    private const val RESPONSE_MILLIS = 150L
}
