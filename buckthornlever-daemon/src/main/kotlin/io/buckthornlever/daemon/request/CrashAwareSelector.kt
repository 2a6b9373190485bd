package io.buckthornlever.daemon.request

import io.buckthornlever.api.connection.UpstreamClient
import io.buckthornlever.api.connection.UpstreamId
import io.buckthornlever.api.process.FailureDomain
import io.buckthornlever.api.process.PoolTable
import io.buckthornlever.api.process.Route
import io.buckthornlever.api.process.UpstreamSpec
import io.buckthornlever.api.request.ErrorCode
import io.buckthornlever.api.request.ExecutionStatus
import io.buckthornlever.api.request.RequestError
import io.buckthornlever.api.request.RequestId
import io.buckthornlever.core.process.CrashAdmission
import io.buckthornlever.core.process.Fingerprint
import io.buckthornlever.core.request.CandidateSelector
import io.buckthornlever.core.request.SelectionQuery
import io.buckthornlever.daemon.connection.UpstreamRegistry
import io.buckthornlever.daemon.process.CrashRegistry
import java.time.Duration
import java.util.concurrent.TimeUnit
import java.util.concurrent.locks.LockSupport

/** Selects the upstream of an attempt, subject to the crash guard, and tells crashes of upstreams from broken connections. */
internal class CrashAwareSelector(
    private val selector: CandidateSelector,
    private val client: UpstreamClient,
    private val upstreams: UpstreamRegistry,
    private val crashes: CrashRegistry,
) {
    /** Result of [choose]. */
    sealed interface Choice {
        /** Send the attempt to [upstream]. */
        class Use(
            val upstream: UpstreamSpec,
        ) : Choice

        /** No upstream can take the attempt now. */
        data object None : Choice

        /** The request must not run. */
        class Refuse(
            val error: RequestError,
        ) : Choice
    }

    /**
     * Chooses an upstream for [attempt].
     *
     * @param mayHaveRun whether an earlier attempt of the request may have run
     * @param preferred upstream to use if it is available and permitted
     */
    fun choose(
        query: SelectionQuery,
        fingerprint: Fingerprint,
        attempt: RequestId,
        mayHaveRun: Boolean,
        preferred: UpstreamId? = null,
    ): Choice {
        val admission = crashes.admit(fingerprint, attempt, query.route, query.pools)
        return when (admission) {
            null -> select(query, preferred)?.let { Choice.Use(it) } ?: Choice.None
            is CrashAdmission.Run -> selectGranted(query, fingerprint, admission.allowed.toSet())
            is CrashAdmission.Refuse -> Choice.Refuse(crashesUpstreams(admission.lostUpstreams, mayHaveRun))
            else -> waitForOtherAttempt()
        }
    }

    /** Releases what the crash guard granted to [attempt]. */
    fun release(
        fingerprint: Fingerprint,
        attempt: RequestId,
    ) {
        crashes.release(fingerprint, attempt)
    }

    /** True when [upstream] answers on a new connection. */
    fun probe(upstream: UpstreamSpec): Boolean = client.fetchLoad(upstream).isOk

    /** Records a crash of [upstream] under [fingerprint] if it no longer answers after its connection broke. */
    fun onConnectionBroken(
        fingerprint: Fingerprint,
        upstream: UpstreamSpec,
    ) {
        if (isStillUp(upstream)) return
        // An upstream that had announced that it leaves was shut down; the request did not crash it.
        val announced = upstreams.statusOf(upstream).leaving
        if (announced) crashes.recordUnreachable(upstream.id) else crashes.recordDeath(fingerprint, upstream.id)
    }

    /** Records that no connection to [upstream] could be made. */
    fun onUnreachable(upstream: UpstreamSpec) {
        crashes.recordUnreachable(upstream.id)
    }

    // A dying process can close its connections before its listener, so a single successful probe proves nothing.
    private fun isStillUp(upstream: UpstreamSpec): Boolean {
        repeat(PROBES) {
            if (!probe(upstream)) return false
            LockSupport.parkNanos(PROBE_PAUSE_NANOS)
        }
        return true
    }

    // The grant allows one attempt at a time, so at most one more upstream is lost, whichever runs it. The first choice may be
    // unavailable to this instance for long, for example while it is cold and other instances hold the shares of its limit.
    private fun selectGranted(
        query: SelectionQuery,
        fingerprint: Fingerprint,
        allowed: Set<UpstreamId>,
    ): Choice {
        val others = crashes.candidates(query.route, query.pools).filterTo(HashSet()) { it !in allowed }
        val chosen =
            selector.select(query.copy(excluded = others))
                ?: selector.select(query.copy(excluded = query.excluded + crashes.lostUpstreams(fingerprint)))
        return chosen?.let { Choice.Use(it) } ?: waitForOtherAttempt()
    }

    private fun waitForOtherAttempt(): Choice {
        LockSupport.parkNanos(GRANT_WAIT_NANOS)
        return Choice.None
    }

    private fun select(
        query: SelectionQuery,
        prefer: UpstreamId?,
    ): UpstreamSpec? {
        if (prefer != null) {
            val others = crashes.candidates(query.route, query.pools).filterTo(HashSet()) { it != prefer }
            selector.select(query.copy(excluded = others))?.let { return it }
        }
        // An upstream that failed is tried again when no other is left: a silent connection says little about the upstream.
        return selector.select(query) ?: selector.select(query.copy(excluded = emptySet())).takeIf { query.excluded.isNotEmpty() }
    }

    private fun crashesUpstreams(
        lost: Int,
        mayHaveRun: Boolean,
    ): RequestError =
        RequestError(
            ErrorCode.CRASHES_UPSTREAMS,
            if (mayHaveRun) ExecutionStatus.UNKNOWN else ExecutionStatus.NOT_RUN,
            "$lost upstreams died while they ran this request",
        )

    companion object {
        private const val PROBES = 4
        private val PROBE_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(25)
        private val GRANT_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(50)

        /** Retry-After value for callers when no upstream can take their request. */
        val RETRY_AFTER: Duration = Duration.ofSeconds(1)

        /** Ids of the upstreams of [route] that are in [domains]. */
        fun inDomains(
            route: Route,
            pools: PoolTable,
            domains: Set<FailureDomain>,
        ): Set<UpstreamId> {
            if (domains.isEmpty()) return emptySet()
            val specs = pools.pools.filter { it.name in route.pools }.flatMap { it.upstreams }
            return specs.filter { it.failureDomain in domains }.mapTo(HashSet()) { it.id }
        }
    }
}
