package io.buckthornlever.bench.request

import io.buckthornlever.api.connection.UpstreamId
import io.buckthornlever.api.process.InstanceId
import io.buckthornlever.api.request.RequestId
import io.buckthornlever.core.process.CrashAdmission
import io.buckthornlever.core.process.CrashGuard
import io.buckthornlever.core.process.CrashLedger
import io.buckthornlever.core.process.Fingerprint
import io.buckthornlever.core.process.RendezvousOrder
import java.util.SplittableRandom

/**
 * One content that crashes every upstream that runs it, submitted to all entry instances at the same time and again
 * later, together with innocent contents that run on the same upstreams. Upstreams restart after a while.
 *
 * @param guarded false for the baseline, which retries each submission up to three times on upstreams chosen at random
 */
internal class CrashSimulation(
    seed: Long,
    instances: Int,
    upstreams: Int,
    private val guarded: Boolean,
) {
    private class Attempt(
        val at: Int,
        val content: Fingerprint,
        val upstream: UpstreamId,
        val retriesLeft: Int,
        val endsAt: Long,
        val owner: Int?,
        val id: RequestId,
    )

    private class Waiting(
        val at: Int,
        val content: Fingerprint,
        val retriesLeft: Int,
        val dueAt: Long,
    )

    private val random = SplittableRandom(seed)
    private val members = List(instances) { InstanceId("entry-$it") }
    private val guards = members.map { CrashGuard(it) }.toMutableList()
    private val pool = List(upstreams) { UpstreamId("engine-$it") }
    private val restartAt = mutableMapOf<UpstreamId, Long>()
    private val crashing = Fingerprint.of("POST", "/v1/completions", "crash-$seed".toByteArray())
    private val running = mutableListOf<Attempt>()
    private val waiting = mutableListOf<Waiting>()
    private var now = 0L
    private var serial = 0

    /** Upstream deaths caused by the crashing content. */
    var lost: Int = 0
        private set
    var innocentSubmitted: Int = 0
        private set
    var innocentAnswered: Int = 0
        private set

    fun run() {
        while (now < END_MILLIS) {
            if (now % RESUBMIT_MILLIS == 0L && now < LAST_SUBMIT_MILLIS) members.indices.forEach { enqueue(it, crashing, RETRIES) }
            if (now < LAST_SUBMIT_MILLIS && random.nextInt(4) == 0) submitInnocent()
            if (now % GOSSIP_MILLIS == 0L) gossip()
            dispatchDue()
            finishDue()
            now++
        }
    }

    private fun submitInnocent() {
        innocentSubmitted++
        val content = Fingerprint.of("POST", "/v1/completions", "innocent-$innocentSubmitted".toByteArray())
        enqueue(random.nextInt(members.size), content, Int.MAX_VALUE)
    }

    private fun enqueue(
        at: Int,
        content: Fingerprint,
        retries: Int,
        delay: Long = random.nextLong(JITTER_MILLIS),
    ) {
        waiting += Waiting(at, content, retries, now + delay)
    }

    private fun dispatchDue() {
        val due = waiting.filter { it.dueAt <= now }
        waiting.removeAll(due)
        due.forEach { if (guarded) guardedDispatch(it) else send(it, pool[random.nextInt(pool.size)], null, nextId()) }
    }

    private fun guardedDispatch(request: Waiting) {
        val order = RendezvousOrder.of(request.content.value, pool)
        when (val decision = guards[request.at].admit(request.content, order, members, now)) {
            is CrashAdmission.Run -> send(request, decision.allowed[random.nextInt(decision.allowed.size)], null, nextId())
            is CrashAdmission.AskOwner -> ask(request, order, members.indexOf(decision.owner))
            else -> Unit
        }
    }

    private fun ask(
        request: Waiting,
        order: List<UpstreamId>,
        owner: Int,
    ) {
        val id = nextId()
        val step = guards[owner].grant(request.content, id, order, guards[request.at].ledger, now, GRANT_MILLIS)
        guards[owner] = step.guard
        when (val admission = step.admission) {
            is CrashAdmission.Run -> send(request, admission.allowed.single(), owner, id)
            is CrashAdmission.Refuse -> Unit
            else -> enqueue(request.at, request.content, request.retriesLeft, BUSY_MILLIS)
        }
    }

    private fun nextId() = RequestId("attempt-${serial++}")

    private fun send(
        request: Waiting,
        upstream: UpstreamId,
        owner: Int?,
        id: RequestId,
    ) {
        val attempt = Attempt(request.at, request.content, upstream, request.retriesLeft, now + random.nextLong(MAX_RUN_MILLIS), owner, id)
        if ((restartAt[upstream] ?: 0L) <= now) {
            running += attempt
            return
        }
        guards[request.at] = guards[request.at].withUnreachable(upstream, now)
        if (owner != null) guards[owner] = guards[owner].withUnreachable(upstream, now)
        retry(attempt)
    }

    private fun finishDue() {
        for (attempt in running.filter { it.endsAt <= now }) {
            if (attempt !in running) continue
            running -= attempt
            if (attempt.content == crashing) crash(attempt) else innocentAnswered++
            release(attempt)
        }
    }

    private fun crash(cause: Attempt) {
        lost++
        restartAt[cause.upstream] = now + RESTART_MILLIS
        val ended = running.filter { it.upstream == cause.upstream }
        running.removeAll(ended)
        (ended + cause).forEach { attempt ->
            guards[attempt.at] = guards[attempt.at].withDeath(attempt.content, attempt.upstream, now)
            release(attempt)
            retry(attempt)
        }
    }

    private fun release(attempt: Attempt) {
        val owner = attempt.owner ?: return
        guards[owner] = guards[owner].release(attempt.content, attempt.id, guards[attempt.at].ledger)
    }

    private fun retry(attempt: Attempt) {
        release(attempt)
        val left = if (attempt.retriesLeft == Int.MAX_VALUE) attempt.retriesLeft else attempt.retriesLeft - 1
        if (left > 0) enqueue(attempt.at, attempt.content, left)
    }

    private fun gossip() {
        val all = guards.map { it.ledger }.fold(CrashLedger(), CrashLedger::merge)
        guards.replaceAll { it.merge(all) }
    }

    private companion object {
        const val RETRIES = 3
        const val END_MILLIS = 40_000L
        const val LAST_SUBMIT_MILLIS = 25_000L
        const val RESUBMIT_MILLIS = 5_000L
        const val GOSSIP_MILLIS = 2_000L
        const val RESTART_MILLIS = 8_000L
        const val JITTER_MILLIS = 50L
        const val BUSY_MILLIS = 200L
        const val GRANT_MILLIS = 5_000L
        const val MAX_RUN_MILLIS = 100L
    }
}
