package io.buckthornlever.core.process.membership

import io.buckthornlever.api.process.InstanceId
import io.buckthornlever.core.process.gossip.Fact
import io.buckthornlever.core.process.gossip.FactStore
import io.buckthornlever.core.process.membership.MembershipCommand.FactChanged
import io.buckthornlever.core.process.membership.MembershipCommand.MemberChanged
import io.buckthornlever.core.process.membership.MembershipCommand.PullMembers
import io.buckthornlever.core.process.membership.MembershipCommand.RevisionsHeard
import io.buckthornlever.core.process.membership.MembershipCommand.Send
import io.buckthornlever.core.process.membership.MembershipCommand.TestConnection
import io.buckthornlever.core.process.membership.PeerMessage.News
import java.time.Duration
import kotlin.random.Random

/**
 * Membership of one entry instance (SWIM with suspicion) and the gossip of [Fact]s that travels with it. Deterministic: the same
 * events at the same times with the same [random] give the same commands. Not safe for use by several threads.
 *
 * @param initialIncarnation must exceed that of an earlier process with the same identity; the start time in seconds serves
 */
public class Membership(
    private val self: MemberAddress,
    initialIncarnation: Long,
    private val settings: MembershipSettings,
    private val random: Random,
) {
    private val table = MemberTable(self.id)
    private val facts = FactStore()
    private val queue = NewsQueue(settings)
    private val probes = LinkedHashMap<Long, Probe>()
    private val seeds = LinkedHashMap<InstanceId, MemberAddress>()
    private val suspects = LinkedHashSet<InstanceId>()
    private val out = ArrayList<MembershipCommand>()
    private var incarnation = initialIncarnation
    private var state = MemberState.ALIVE
    private var revisions = TableRevisions()
    private var lastTick: Moment? = null
    private var lastHeard: Long? = null
    private var nextProbe = Long.MIN_VALUE
    private var nextGossip = Long.MIN_VALUE
    private var nextDeadProbe = Long.MIN_VALUE
    private var nextCleanup = Long.MIN_VALUE
    private var healUntil: Long? = null
    private var judgeFrom: Long? = null
    private var probeNumber = 0L
    private var membersPulled = false
    private var pullAgainAt: Long? = null
    private var nextSync: Long? = null
    private var counters = MembershipCounters()

    /** Own claim, with the present incarnation. */
    public val ownUpdate: MemberUpdate get() = MemberUpdate(self, incarnation, state)

    /** Counts since the start. */
    public val statistics: MembershipCounters get() = counters

    /** Facts that are known and have not expired. */
    public fun facts(): FactStore = facts

    /** Addresses of the other live members, sorted by identity. */
    public fun liveAddresses(): List<MemberAddress> = table.liveMembers.map { it.address }

    /** Number of live members including this one. */
    public val liveCount: Int get() = table.liveMembers.size + 1

    /** Claims about all members including this one; the answer to [PullMembers]. */
    public fun allUpdates(): List<MemberUpdate> = listOf(ownUpdate) + table.all().map { it.update() }

    /** State of the member [id]; null when it is not known. */
    public fun stateOf(id: InstanceId): MemberState? = if (id == self.id) state else table[id]?.state

    /** All other members with what is known about each. */
    public fun memberViews(now: Moment): List<MemberView> =
        table.all().sortedBy { it.address.id }.map {
            val silent = it.lastHeard?.let { heard -> now.nanos - heard }
            MemberView(it.address, it.incarnation, it.state, assess(it.address.id), it.revisions, silent)
        }

    /** Live members whose last known revisions are behind [target]. */
    public fun behind(target: TableRevisions): List<InstanceId> =
        table.liveMembers.filter { it.revisions.isBehind(target) }.map { it.address.id }

    /** What the evidence says about the member [id]. */
    public fun assess(id: InstanceId): MemberAssessment {
        val member = table[id] ?: return if (id == self.id) MemberAssessment.REACHABLE else MemberAssessment.UNKNOWN
        return MemberAssessor.assess(member, table)
    }

    /** Processes [event] at [now]. */
    public fun handle(event: MembershipEvent, now: Moment): List<MembershipCommand> {
        when (event) {
            MembershipEvent.Tick -> tick(now)
            is MembershipEvent.SeedsListed -> seedsListed(event.seeds)
            is MembershipEvent.Received -> received(event.from, event.message, now)
            is MembershipEvent.MembersReceived -> membersReceived(event, now)
            is MembershipEvent.ConnectionSilent -> connectionSilent(event.peer, now)
            is MembershipEvent.ConnectionTested -> connectionTested(event.peer, event.evidence, now)
            is MembershipEvent.Publish -> mergeFact(event.fact, now)
            is MembershipEvent.RevisionsChanged -> revisionsChanged(event.revisions)
            is MembershipEvent.RequestRevisions -> event.peers.mapNotNull { table[it] }.forEach { ping(it.address, now, judged = false) }
            MembershipEvent.LeaveRequested -> leave()
        }
        val commands = ArrayList(out)
        out.clear()
        return commands
    }

    private fun tick(now: Moment) {
        detectPause(now)
        lastTick = now
        if (state == MemberState.LEFT) {
            gossip(now)
            return
        }
        expireProbes(now)
        expireSuspicions(now)
        if (now.nanos >= nextProbe) {
            nextProbe = now.nanos + settings.probePeriod.toNanos()
            probeNext(now)
        }
        probeDead(now)
        gossip(now)
        cleanUp(now)
    }

    /** The wall clock is compared too, because the monotonic clock of some systems stands still while the machine is suspended. */
    private fun detectPause(now: Moment) {
        val last = lastTick ?: return
        val gap = maxOf(now.nanos - last.nanos, Duration.ofMillis(now.wallMillis - last.wallMillis).toNanos())
        if (gap < settings.pauseThreshold.toNanos()) return
        counters = counters.copy(pauses = counters.pauses + 1)
        out.add(MembershipCommand.PauseDetected(Duration.ofNanos(gap)))
        probes.clear()
        refuteAbove(incarnation)
        judgeFrom = now.nanos + settings.probePeriod.toNanos()
        suspects.forEach { table[it]?.suspicionDeadline = now.nanos + settings.suspicionTimeout.toNanos() }
    }

    private fun seedsListed(listed: List<MemberAddress>) {
        seeds.clear()
        listed.filter { it.id != self.id }.forEach { seeds[it.id] = it }
    }

    private fun received(from: InstanceId, message: PeerMessage, now: Moment) {
        val news = message.news
        val sender = news.sender
        if (from == self.id || sender.address.id != from) return
        merge(sender, now)
        val member = table[from] ?: return
        heard(member, sender, news, now)
        news.updates.forEach { merge(it, now) }
        news.facts.forEach { mergeFact(it, now) }
        if (state == MemberState.LEFT) return
        when (message) {
            is PeerMessage.Ping -> out.add(Send(sender.address, PeerMessage.Ack(message.number, null, news(now))))
            is PeerMessage.Ack -> acknowledged(message, now)
            is PeerMessage.PingRequest -> relay(sender.address, message, now)
            is PeerMessage.Gossip, is PeerMessage.Leave -> Unit
        }
        if (!membersPulled && state.isLive) pullMembers(sender.address, now)
    }

    private fun heard(member: Member, sender: MemberUpdate, news: News, now: Moment) {
        lastHeard = now.nanos
        member.lastHeard = now.nanos
        if (sender.incarnation == member.incarnation) member.evidence = null
        if (member.revisions.isBehind(news.revisions)) member.revisions = member.revisions.merge(news.revisions)
        if (news.revisions != revisions) out.add(RevisionsHeard(sender.address, news.revisions))
    }

    private fun pullMembers(from: MemberAddress, now: Moment) {
        val again = pullAgainAt
        if (again != null && now.nanos < again) return
        pullAgainAt = now.nanos + settings.probePeriod.toNanos()
        out.add(PullMembers(from))
    }

    /** The others know these claims already, so they are not sent on. */
    private fun membersReceived(event: MembershipEvent.MembersReceived, now: Moment) {
        membersPulled = true
        event.updates.forEach { merge(it, now, spread = false) }
        event.facts.forEach { fact -> facts.merge(fact, now)?.let { out.add(FactChanged(it)) } }
    }

    private fun merge(update: MemberUpdate, now: Moment, spread: Boolean = true) {
        if (update.address.id == self.id) return refuteIfAccused(update)
        val member = table[update.address.id]
        if (member == null) {
            val added = Member(update.address, update.incarnation, update.state, now.nanos)
            table.add(added)
            startSuspicion(added, now)
            return announce(added, null, spread)
        }
        // Another side's death claim must not remove a member that this side reaches; it starts the suspicion here instead.
        val deathClaim = update.state == MemberState.DEAD && member.state.isLive
        apply(if (deathClaim) update.copy(state = MemberState.SUSPECT) else update, member, now, spread)
    }

    private fun apply(update: MemberUpdate, member: Member, now: Moment, spread: Boolean) {
        if (!update.overrides(member.incarnation, member.state)) return
        val previous = member.state
        member.address = update.address
        member.incarnation = update.incarnation
        table.changeState(member, update.state, now.nanos)
        if (!previous.isLive && update.state.isLive) revived(now)
        startSuspicion(member, now)
        announce(member, previous, spread)
    }

    private fun revived(now: Moment) {
        counters = counters.copy(revivals = counters.revivals + 1)
        healUntil = now.nanos + settings.healWindow.toNanos()
    }

    private fun startSuspicion(member: Member, now: Moment) {
        val id = member.address.id
        if (member.state != MemberState.SUSPECT) {
            suspects.remove(id)
            if (member.state == MemberState.ALIVE) member.evidence = null
            return
        }
        suspects.add(id)
        member.suspicionDeadline = now.nanos + settings.suspicionTimeout.toNanos()
    }

    private fun announce(member: Member, previous: MemberState?, spread: Boolean) {
        val update = member.update()
        if (spread) queue.put(update)
        out.add(MemberChanged(update, previous))
    }

    private fun refuteIfAccused(claim: MemberUpdate) {
        val accused = claim.incarnation >= incarnation && claim.state != MemberState.ALIVE
        val stale = claim.incarnation > incarnation
        if (state == MemberState.LEFT || !(accused || stale)) return
        counters = counters.copy(refutations = counters.refutations + 1)
        refuteAbove(claim.incarnation)
    }

    private fun refuteAbove(claimed: Long) {
        incarnation = maxOf(incarnation, claimed) + 1
        queue.put(ownUpdate)
    }

    private fun revisionsChanged(changed: TableRevisions) {
        revisions = changed
        queue.repeatRevisions(liveCount)
    }

    private fun mergeFact(fact: Fact, now: Moment) {
        val joined = facts.merge(fact, now) ?: return
        queue.put(joined)
        out.add(FactChanged(joined))
    }

    private fun probeNext(now: Moment) {
        val live = table.liveMembers
        if (live.isNotEmpty()) {
            val period = now.wallMillis / settings.probePeriod.toMillis()
            ping(live[ProbeRing.target(period, table.ownPosition, live.size)].address, now, judged = true)
        }
        val unknown = seeds.values.filter { table[it.id] == null }
        unknown.shuffled(random).take(settings.seedFanout).forEach { ping(it, now, judged = false) }
    }

    private fun ping(to: MemberAddress, now: Moment, judged: Boolean, relayFor: Probe.Relay? = null) {
        val number = ++probeNumber
        val direct = now.nanos + settings.directTimeout.toNanos()
        probes[number] = Probe(number, to.id, direct, now.nanos + settings.probePeriod.toNanos(), judged, relayFor)
        counters = counters.copy(probes = counters.probes + 1)
        val member = table[to.id]
        val accusation = member?.takeIf { it.state != MemberState.ALIVE }?.update()
        out.add(Send(to, PeerMessage.Ping(number, news(now, accusation))))
    }

    private fun relay(requester: MemberAddress, request: PeerMessage.PingRequest, now: Moment) {
        ping(request.target, now, judged = false, relayFor = Probe.Relay(requester, request.number))
    }

    private fun acknowledged(ack: PeerMessage.Ack, now: Moment) {
        val probe = probes.remove(ack.number) ?: return
        val relay = probe.relayFor ?: return
        val subject = table[probe.target]?.address ?: return
        out.add(Send(relay.requester, PeerMessage.Ack(relay.number, subject, news(now))))
    }

    private fun expireProbes(now: Moment) {
        val iterator = probes.values.iterator()
        val failed = ArrayList<Probe>()
        while (iterator.hasNext()) {
            val probe = iterator.next()
            if (probe.judged && !probe.indirectSent && now.nanos >= probe.directDeadline) probeIndirectly(probe, now)
            if (now.nanos >= probe.finalDeadline) {
                iterator.remove()
                if (probe.judged) failed.add(probe)
            }
        }
        val mayJudge = judgeFrom?.let { now.nanos >= it } ?: true
        if (mayJudge) failed.forEach { suspect(it.target, now) }
    }

    private fun probeIndirectly(probe: Probe, now: Moment) {
        probe.indirectSent = true
        val target = table[probe.target] ?: return
        val helpers = randomMembers(settings.indirectProbes) { it !== target && it.state == MemberState.ALIVE }
        counters = counters.copy(indirectProbes = counters.indirectProbes + helpers.size)
        helpers.forEach { out.add(Send(it.address, PeerMessage.PingRequest(probe.number, target.address, news(now)))) }
    }

    private fun suspect(id: InstanceId, now: Moment) {
        val member = table[id] ?: return
        if (member.state != MemberState.ALIVE) return
        counters = counters.copy(suspicions = counters.suspicions + 1)
        merge(member.update().copy(state = MemberState.SUSPECT), now, spread = !isIsolated(now))
        out.add(TestConnection(member.address))
        ping(member.address, now, judged = false)
    }

    private fun expireSuspicions(now: Moment) {
        if (suspects.isEmpty()) return
        val expired = suspects.mapNotNull { table[it] }.filter { now.nanos >= it.suspicionDeadline }
        expired.forEach {
            counters = counters.copy(deaths = counters.deaths + 1)
            apply(it.update().copy(state = MemberState.DEAD), it, now, spread = !isIsolated(now))
        }
    }

    /** An instance that hears nobody may be cut off itself, so it keeps its judgement of the others to itself. */
    private fun isIsolated(now: Moment): Boolean {
        val heard = lastHeard ?: return true
        return now.nanos - heard > settings.isolationTimeout.toNanos()
    }

    private fun probeDead(now: Moment) {
        if (now.nanos < nextDeadProbe) return
        val healing = healUntil?.let { now.nanos < it } ?: false
        val period = if (healing) settings.healProbePeriod else settings.deadProbePeriod
        nextDeadProbe = now.nanos + period.toNanos()
        val dead = table.deadMembers
        if (dead.isEmpty()) return
        ping(dead[random.nextInt(dead.size)].address, now, judged = false)
    }

    private fun connectionSilent(peer: InstanceId, now: Moment) {
        val member = table[peer] ?: return
        if (!member.state.isLive) return
        member.silentConnectionSince = now.nanos
        ping(member.address, now, judged = true)
        out.add(TestConnection(member.address))
    }

    private fun connectionTested(peer: InstanceId, evidence: ConnectionEvidence, now: Moment) {
        val member = table[peer] ?: return
        member.evidence = evidence
        if (evidence == ConnectionEvidence.REFUSED && member.state == MemberState.SUSPECT) {
            val deadline = now.nanos + settings.refusedTimeout.toNanos()
            member.suspicionDeadline = minOf(member.suspicionDeadline, deadline)
        }
        if (evidence == ConnectionEvidence.ANSWERED) member.lastHeard = now.nanos
    }

    private fun leave() {
        state = MemberState.LEFT
        queue.put(ownUpdate)
        val news = News(ownUpdate, revisions)
        randomMembers(settings.leaveFanout) { true }.forEach { out.add(Send(it.address, PeerMessage.Leave(news))) }
    }

    private fun gossip(now: Moment) {
        if (now.nanos < nextGossip) return
        nextGossip = now.nanos + settings.gossipInterval.toNanos()
        if (!queue.hasNews) return
        for (member in randomMembers(settings.gossipFanout) { true }) {
            if (!queue.hasNews) return
            out.add(Send(member.address, PeerMessage.Gossip(news(now))))
        }
    }

    private fun cleanUp(now: Moment) {
        if (now.nanos < nextCleanup) return
        nextCleanup = now.nanos + CLEANUP_PERIOD.toNanos()
        facts.expire(now)
        table.forgetGoneBefore(now.nanos - settings.deadRetention.toNanos())
        table.all().forEach { forgetSilence(it, now) }
        synchronise(now)
    }

    private fun forgetSilence(member: Member, now: Moment) {
        val since = member.silentConnectionSince ?: return
        if (now.nanos - since > settings.silenceMemory.toNanos()) member.silentConnectionSince = null
    }

    /** Repairs what bounded retransmission left out. */
    private fun synchronise(now: Moment) {
        val due = nextSync ?: (now.nanos + random.nextLong(settings.syncPeriod.toNanos()))
        nextSync = due
        if (now.nanos < due) return
        nextSync = now.nanos + settings.syncPeriod.toNanos()
        randomMembers(1) { it.state == MemberState.ALIVE }.forEach { out.add(PullMembers(it.address)) }
    }

    private fun news(now: Moment, accusation: MemberUpdate? = null): News = queue.next(ownUpdate, revisions, liveCount, now, accusation)

    private fun randomMembers(count: Int, accept: (Member) -> Boolean): List<Member> {
        val live = table.liveMembers
        if (live.size <= count) return live.filter(accept)
        val chosen = LinkedHashSet<Member>()
        var tries = 0
        while (chosen.size < count && tries < MAX_TRIES * count) {
            val member = live[random.nextInt(live.size)]
            if (accept(member)) chosen.add(member)
            tries++
        }
        return chosen.toList()
    }

    private companion object {
        const val MAX_TRIES = 4
        val CLEANUP_PERIOD: Duration = Duration.ofSeconds(1)
    }
}
