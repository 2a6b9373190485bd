package io.buckthornlever.gateway.request

import io.buckthornlever.api.connection.UpstreamId
import io.buckthornlever.api.version.VersionLabel
import io.buckthornlever.core.serving.LoadCheck
import io.buckthornlever.core.serving.Placement
import io.buckthornlever.core.serving.PlacementQuery
import io.buckthornlever.core.serving.StableHash
import io.buckthornlever.core.version.VersionChoice

/**
 * Chooses the upstreams of one request, by the versions that it may run on.
 *
 * @param tried upstreams of earlier attempts, which its owner extends
 * @param firstOutputBy monotonic time in nanoseconds after which the first output is late
 */
internal class RequestPlacement(
    private val context: ServingContext,
    private val head: CallerRequestHead,
    private val service: String,
    private val tried: Set<UpstreamId>,
    private val firstOutputBy: Long,
) {
    private val sharedParts = head.sharedParts.ifEmpty { head.promptParts }
    private val sharedPartIds = sharedParts.map { it.id }
    private val sharedTokens = sharedParts.sumOf { it.tokens }
    private val tieBreak = StableHash.of(head.requestId.orEmpty())

    /** Query for which an upstream was chosen last. */
    var chosenQuery: PlacementQuery = query()
        private set

    private var check: LoadCheck? = null
    private var isCheckRunning = false
    private var checkedNanos: Long? = null

    /**
     * True while the answers of upstreams that are asked for their load are to be awaited. Begins a round of checks if [isAllowed] and it
     * is of use, once for each time that the request is sent; the queue of the service is served when it has ended.
     */
    fun awaitsCheck(
        isAllowed: Boolean,
        drawsOrderedVersion: Boolean,
        now: Long,
    ): Boolean {
        if (isCheckRunning) return true
        if (checkedNanos != null || !isAllowed) return false
        if (context.versionOrders.choice(service, drawsOrderedVersion) != VersionChoice.Any) return false
        val planned = context.balancer.planCheck(query(), now) ?: return false
        check = planned
        isCheckRunning = true
        context.loadChecker.start(planned, service) {
            isCheckRunning = false
            checkedNanos = context.clock.monotonicNanos()
            context.queues.retry(service)
        }
        return true
    }

    /** Lets the next choice begin with checks again; called when the request was sent. */
    fun onSent() {
        check = null
        checkedNanos = null
    }

    /** Chooses an upstream; [drawsOrderedVersion] is true for a request that is to prefer a version that operators have ordered. */
    fun choose(
        drawsOrderedVersion: Boolean,
        now: Long,
    ): Placement =
        when (val versions = context.versionOrders.choice(service, drawsOrderedVersion)) {
            VersionChoice.Any -> chooseChecked(now) ?: choose(query(), now)
            is VersionChoice.Avoiding -> {
                val placement = choose(query(excludedVersion = versions.version), now)
                if (placement == Placement.NoUpstream) choose(query(), now) else placement
            }
            is VersionChoice.Preferring -> {
                val preferred = choose(query(requiredVersion = versions.version), now)
                val other = if (preferred is Placement.Chosen) preferred else choose(query(), now)
                if (other == Placement.NoUpstream) preferred else other
            }
        }

    private fun chooseChecked(now: Long): Placement? {
        val finished = check ?: return null
        if (now - (checkedNanos ?: return null) > MAX_CHECK_AGE_NANOS) return null
        chosenQuery = query()
        return context.balancer.chooseChecked(finished, chosenQuery, now)
    }

    private fun choose(
        query: PlacementQuery,
        now: Long,
    ): Placement {
        chosenQuery = query
        return context.balancer.choose(query, now)
    }

    /** Properties of the request that determine the choice of its upstream. */
    fun query(
        requiredVersion: VersionLabel? = null,
        excludedVersion: VersionLabel? = null,
    ): PlacementQuery =
        PlacementQuery(
            service,
            sharedPartIds,
            sharedTokens,
            head.promptTokens,
            tried,
            tieBreak,
            requiredVersion,
            excludedVersion,
            head.expectedOutputTokens,
            firstOutputBy,
        )

    private companion object {
        /** Age of the answers from which on other upstreams may be better than those that were asked. */
        const val MAX_CHECK_AGE_NANOS = 50_000_000L
    }
}
