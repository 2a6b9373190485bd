package io.buckthornlever.core.process

import io.buckthornlever.api.connection.UpstreamId
import io.buckthornlever.api.process.InstanceId
import io.buckthornlever.api.request.RequestId
import kotlin.random.Random

/** Entry instances that receive the same crashing content in a random interleaving, with delayed deaths and lossy gossip. */
internal class CrashWorld(
    private val random: Random,
    instances: Int,
    private val order: List<UpstreamId>,
    private val content: Fingerprint,
) {
    private data class Attempt(
        val at: Int,
        val upstream: UpstreamId,
        val grant: Pair<Int, RequestId>?,
    )

    private val ids = List(instances) { InstanceId("e$it") }
    private val guards = ids.map { CrashGuard(it) }.toMutableList()
    private val running = mutableListOf<Attempt>()
    private var now = 0L
    private var serial = 0
    val dead = mutableSetOf<UpstreamId>()

    /** Performs one random action; every hundred actions, at most five seconds, all entries have reached all instances. */
    fun act(index: Int) {
        now += random.nextLong(50)
        if (index % 100 == 0) gossipAll()
        when (random.nextInt(4)) {
            0, 1 -> submit(random.nextInt(guards.size))
            2 -> gossip()
            else -> finishOne()
        }
    }

    private fun submit(at: Int) {
        when (val decision = guards[at].admit(content, order, ids, now)) {
            is CrashAdmission.Run -> send(at, decision.allowed.random(random), null)
            is CrashAdmission.AskOwner -> ask(at, ids.indexOf(decision.owner))
            else -> Unit
        }
    }

    private fun ask(
        at: Int,
        owner: Int,
    ) {
        val attempt = RequestId("r${serial++}")
        val step = guards[owner].grant(content, attempt, order, guards[at].ledger, now, 60_000)
        guards[owner] = step.guard
        (step.admission as? CrashAdmission.Run)?.let { send(at, it.allowed.single(), owner to attempt) }
    }

    private fun send(
        at: Int,
        upstream: UpstreamId,
        grant: Pair<Int, RequestId>?,
    ) {
        if (upstream !in dead) {
            running += Attempt(at, upstream, grant)
            return
        }
        guards[at] = guards[at].withUnreachable(upstream, now)
        grant?.let { (owner, attempt) ->
            guards[owner] = guards[owner].withUnreachable(upstream, now).release(content, attempt, guards[at].ledger)
        }
    }

    private fun finishOne() {
        val crashed = (running.randomOrNull(random) ?: return).upstream
        dead += crashed
        val ended = running.filter { it.upstream == crashed }
        running -= ended.toSet()
        for (attempt in ended) {
            guards[attempt.at] = guards[attempt.at].withDeath(content, crashed, now)
            attempt.grant?.let { (owner, id) -> guards[owner] = guards[owner].release(content, id, guards[attempt.at].ledger) }
        }
    }

    private fun gossip() {
        val from = guards.random(random)
        val to = random.nextInt(guards.size)
        guards[to] = guards[to].merge(from.ledger)
    }

    private fun gossipAll() {
        val all = guards.map { it.ledger }.reduce(CrashLedger::merge)
        guards.replaceAll { it.merge(all) }
    }
}
