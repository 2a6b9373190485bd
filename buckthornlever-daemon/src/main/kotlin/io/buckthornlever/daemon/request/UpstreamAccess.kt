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

/** Chooses the upstream of an attempt under the crash guard and finds out why an attempt broke. */
internal class UpstreamAccess(
    private val selector: CandidateSelector,
    private val client: UpstreamClient,
    private val upstreams: UpstreamRegistry,
    private val crashes: CrashRegistry,
) {
    /** What [choose] found. */
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
     * @param mayHaveRun whether an earlier attempt of the request can have run
     * @param prefer upstream to use if it may be used
     */
    fun choose(
        query: SelectionQuery,
        fingerprint: Fingerprint,
        attempt: RequestId,
        mayHaveRun: Boolean,
        prefer: UpstreamId? = null,
    ): Choice {
        val admission = crashes.admit(fingerprint, attempt, query.route, query.pools)
        return when (admission) {
            null -> select(query, prefer)?.let { Choice.Use(it) } ?: Choice.None
            is CrashAdmission.Run -> granted(query, fingerprint, admission.allowed.toSet())
            is CrashAdmission.Refuse -> Choice.Refuse(crashesUpstreams(admission.lostUpstreams, mayHaveRun))
            else -> waitForOther()
        }
    }

    /** Ends the part of [attempt] in the crash guard. */
    fun release(
        fingerprint: Fingerprint,
        attempt: RequestId,
    ) {
        crashes.release(fingerprint, attempt)
    }

    /** True when [upstream] answers on a new connection. */
    fun probe(upstream: UpstreamSpec): Boolean = client.fetchLoad(upstream).isOk

    /** Finds out whether [upstream] died under [fingerprint] after its connection broke. */
    fun broke(
        fingerprint: Fingerprint,
        upstream: UpstreamSpec,
    ) {
        if (staysUp(upstream)) return
        // The end of an upstream that had announced its leave is not the work of its requests.
        val announced = upstreams.statusOf(upstream).leaving
        if (announced) crashes.unreachable(upstream.id) else crashes.died(fingerprint, upstream.id)
    }

    /** Records that no connection to [upstream] could be made. */
    fun unreachable(upstream: UpstreamSpec) {
        crashes.unreachable(upstream.id)
    }

    // The connections of a dying process can close before its listener does, so one successful probe proves nothing.
    private fun staysUp(upstream: UpstreamSpec): Boolean {
        repeat(PROBES) {
            if (!probe(upstream)) return false
            LockSupport.parkNanos(PROBE_PAUSE_NANOS)
        }
        return true
    }

    // The grant allows one attempt at a time, which bounds the loss to one more upstream whichever it is. The preferred one
    // may be out of reach of this instance for long, for example while it is cold and others hold the shares of its limit.
    private fun granted(
        query: SelectionQuery,
        fingerprint: Fingerprint,
        allowed: Set<UpstreamId>,
    ): Choice {
        val others = crashes.candidates(query.route, query.pools).filterTo(HashSet()) { it !in allowed }
        val chosen =
            selector.select(query.copy(excluded = others))
                ?: selector.select(query.copy(excluded = query.excluded + crashes.lost(fingerprint)))
        return chosen?.let { Choice.Use(it) } ?: waitForOther()
    }

    private fun waitForOther(): Choice {
        LockSupport.parkNanos(BUSY_NANOS)
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
        // One that failed may be tried again when no other is left: a silent connection says little about the upstream.
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
        private val BUSY_NANOS = TimeUnit.MILLISECONDS.toNanos(50)

        /** Advice to callers when no upstream can take their request. */
        val RETRY_AFTER: Duration = Duration.ofSeconds(1)

        /** Upstreams of [route] in [domains]. */
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
