package io.buckthornlever.core.serving

import io.buckthornlever.api.process.AccountId
import io.buckthornlever.api.serving.ServedRoute
import java.time.Duration
import java.util.Random
import kotlin.math.ln

/**
 * Plays the load of a site against its admission, without a network. Instances see the backlog of the engines as it was at the last
 * figures, place a request at the best of three engines, and callers return once after a refusal.
 *
 * @param isOn true if admission decides; otherwise each request is sent at once
 */
internal class OverloadSimulation(
    private val site: OverloadSite,
    private val isOn: Boolean,
    seed: Long,
) {
    val calls = ArrayList<OverloadCall>()

    /** Factor of the usual load by route name and account, for the time in milliseconds. */
    var loadFactor: (route: String, account: Int, millis: Long) -> Double = { _, _, _ -> 1.0 }

    /** Engines in use at a time in milliseconds. */
    var enginesAt: (millis: Long) -> Int = { site.engines }

    /** True if the instance gets figures at a time in milliseconds. */
    var getsFigures: (instance: Int, millis: Long) -> Boolean = { _, _ -> true }

    /** What the figures say instead of the mean wait. */
    var statedWait: (millis: Long, wait: Duration) -> Duration = { _, wait -> wait }

    /** True if the engines are told the priority of a request. */
    var tellsPriority = isOn

    /** True if instances get the figures of the accounts. */
    var tellsAccounts = true

    /** Called for each time in milliseconds. */
    var onMillis: (millis: Long) -> Unit = {}

    val long = ServingFixtures.stream("long", 0, 1_019, 15_292)
    val short = ServingFixtures.stream("short", site.shortPriority, site.shortTargetMillis, 3_014)
    private val random = Random(seed)
    private val table = ServingFixtures.table().copy(routes = listOf(long, short))
    private val engines = List(site.engines) { EngineModel(site) }
    private val demand = AccountDemand()
    private val instances = ArrayList<InstanceModel>()
    private val events = java.util.PriorityQueue<Event>(compareBy<Event> { it.millis }.thenBy { it.sequence })
    private var millis = 0L
    private var sequence = 0L

    init {
        repeat(site.instances) { instances.add(InstanceModel(it)) }
    }

    fun run(seconds: Int): OverloadSimulation {
        val end = seconds * 1_000L
        while (millis < end + DRAIN_MILLIS) {
            onMillis(millis)
            if (millis < end) arrive()
            if (millis % FIGURES_MILLIS == 0L) instances.filter { getsFigures(it.index, millis) }.forEach { it.onFigures() }
            if (millis % RECHECK_MILLIS == 0L) instances.forEach { it.recheck() }
            while (events.isNotEmpty() && events.peek().millis <= millis) events.remove().action()
            val active = enginesAt(millis)
            engines.forEachIndexed { i, engine -> if (i < active) engine.advance(millis, TICK_MILLIS.toDouble(), ::onFirst, ::onLast) }
            millis += TICK_MILLIS
        }
        return this
    }

    /** Replaces instance [index] by one that knows nothing. */
    fun restart(index: Int) {
        instances[index] = InstanceModel(index)
    }

    /** Share of the calls that were served. */
    fun served(
        among: (OverloadCall) -> Boolean,
    ): Double = calls.filter(among).let { all -> all.count { it.isServed } / all.size.toDouble() }

    /** Share of the calls that were on time. */
    fun onTime(
        among: (OverloadCall) -> Boolean,
    ): Double = calls.filter(among).let { all -> all.count { it.isOnTime } / all.size.toDouble() }

    /** What became of the calls, by kind, and by kind and account. */
    fun report(): String {
        val groups = calls.groupBy { it.route.name } + calls.groupBy { "${it.route.name} ${it.account.value}" }
        return groups.entries.sortedBy {
            it.key
        }.joinToString("\n", "${site.instances} instances, admission $isOn\n", "\n") { (name, part) ->
            "  $name: ${summary(part)}"
        }
    }

    private fun summary(part: List<OverloadCall>): String {
        val shares =
            listOf<Pair<String, (OverloadCall) -> Boolean>>(
                "on time" to { it.isOnTime },
                "late" to { it.isServed && !it.isOnTime },
                "refused" to { it.refusedMillis != null },
                "lost" to { it.refusedMillis == null && !it.isServed },
            )
        return "${part.size} calls, " +
            shares.joinToString { (name, test) -> "%s %.3f".format(name, part.count(test) / part.size.toDouble()) }
    }

    private fun arrive() {
        for (route in listOf(long, short)) {
            val perSecond = if (route === long) site.longPerSecond else site.shortPerSecond
            ACCOUNT_WEIGHTS.forEachIndexed { account, weight ->
                val expected = perSecond * weight * loadFactor(route.name, account, millis) * TICK_MILLIS / 1_000.0
                if (random.nextDouble() < expected) arrive(route, account)
            }
        }
    }

    private fun arrive(
        route: ServedRoute,
        account: Int,
    ) {
        val own = if (route ===
            long
        ) {
            minOf(LONG_OWN_TOKENS * exponential(), LONG_MOST)
        } else {
            minOf(SHORT_OWN_TOKENS * exponential(), SHORT_MOST)
        }
        val call = OverloadCall(route, AccountId("a$account"), own.toInt() + 1, millis)
        calls.add(call)
        attempt(call)
    }

    private fun attempt(call: OverloadCall) {
        call.attempts++
        // The load balancer spreads connections unevenly: a third of the instances get twice as many as the others.
        val pick = random.nextInt(site.instances * 4 / 3)
        instances[pick % site.instances].admit(call)
    }

    private fun exponential(): Double = -ln(1 - random.nextDouble())

    private fun onFirst(run: EngineModel.Run) {
        run.call.firstMillis = millis
    }

    private fun onLast(run: EngineModel.Run) {
        run.call.lastMillis = millis
    }

    private fun nanos(): Long = millis * 1_000_000L

    private inner class InstanceModel(
        val index: Int,
    ) {
        private var backlogs = DoubleArray(site.engines)
        private var figuresMillis: Long? = null
        private val shares = AccountShares()
        private val admission = OverloadAdmission({ _, _ -> load() }, shares)
        private val waiting = ArrayList<Pair<OverloadCall, OverloadRequest>>()

        init {
            admission.updateTable(table)
        }

        fun onFigures() {
            engines.forEachIndexed { i, engine -> backlogs[i] = engine.backlog }
            figuresMillis = millis - FIGURES_AGE_MILLIS
            if (tellsAccounts) shares.update(AccountDemand.decode(demand.rates(nanos())), nanos())
        }

        fun admit(call: OverloadCall) {
            val priority = RequestPriority(call.route.priority)
            demand.onRequest(AccountClass("s", priority.effective, call.account), call.promptTokens, nanos())
            val deadline = call.deadlineMillis * 1_000_000L
            val request =
                OverloadRequest("s", call.route, priority, call.account, random.nextLong(), call.promptTokens, nanos(), deadline)
            if (!step(call, request)) waiting.add(call to request)
        }

        fun recheck() {
            waiting.removeIf { (call, request) -> step(call, request) }
        }

        /** Returns true once [call] no longer waits here. */
        private fun step(
            call: OverloadCall,
            request: OverloadRequest,
        ): Boolean {
            val step = if (isOn) admission.decide(request, nanos()) else AdmissionStep.Admit
            when (step) {
                AdmissionStep.Admit -> send(call, request)
                is AdmissionStep.Hold -> return false
                is AdmissionStep.Refuse -> refuse(call, step.retryAfter)
            }
            return true
        }

        private fun send(
            call: OverloadCall,
            request: OverloadRequest,
        ) {
            val engine = List(CANDIDATES) { random.nextInt(enginesAt(millis)) }.minBy { backlogs[it] }
            val first = Duration.ofNanos(((backlogs[engine] + call.promptTokens) / site.tokensPerMilli * 1e6).toLong())
            val left = Duration.ofNanos(request.deadlineNanos - nanos())
            val obstacle = TimelyRun.obstacle(ExpectedTimes(first, first), load().age, false, left, left, random.nextDouble())
            if (isOn && obstacle != null && admission.overloadOf("s")?.isEngaged == true) return refuse(call, null)
            backlogs[engine] += call.promptTokens.toDouble()
            admission.overloadOf("s")?.onStarted(call.route, first.minus(load().meanWait), call.promptTokens)
            val events = if (call.route === long) site.longEvents else site.shortEvents
            engines[engine].add(EngineModel.Run(call, if (tellsPriority) call.route.priority else 0, sequence++, events * TOKENS_PER_EVENT))
        }

        private fun refuse(
            call: OverloadCall,
            retryAfter: Duration?,
        ) {
            if (call.attempts == 1 && retryAfter != null) {
                events.add(Event(millis + retryAfter.toMillis(), sequence++) { attempt(call) })
            } else {
                call.refusedMillis = millis
            }
        }

        private fun load(): ServiceLoad {
            val known = figuresMillis ?: return ServiceLoad(Duration.ZERO, null)
            val mean = Duration.ofNanos((backlogs.take(enginesAt(millis)).average() / site.tokensPerMilli * 1e6).toLong())
            return ServiceLoad(statedWait(millis, mean), Duration.ofMillis(millis - known))
        }
    }

    private class Event(
        val millis: Long,
        val sequence: Long,
        val action: () -> Unit,
    )

    companion object {
        /** Shares of the accounts in the usual load: a few are large. */
        val ACCOUNT_WEIGHTS = listOf(0.2, 0.15, 0.12, 0.1) + List(12) { 0.43 / 12 }
        private const val TICK_MILLIS = 5L
        private const val RECHECK_MILLIS = 20L
        private const val FIGURES_MILLIS = 500L
        private const val FIGURES_AGE_MILLIS = 250L
        private const val DRAIN_MILLIS = 16_000L
        private const val CANDIDATES = 3
        private const val TOKENS_PER_EVENT = 4
        private const val LONG_OWN_TOKENS = 6_610.0
        private const val LONG_MOST = 54_600.0
        private const val SHORT_OWN_TOKENS = 1_800.0
        private const val SHORT_MOST = 6_870.0
    }
}
