package io.buckthornlever.core.serving

import io.buckthornlever.api.serving.ServedRoute
import io.buckthornlever.api.serving.ServingTable
import java.time.Duration

/**
 * Overload level of one service with engines: the share of the requests of each priority that it has room for.
 *
 * Long streams (priority 0, first event within 1,019 ms) and short streams (priority 1 or 2, within 1.2 to 2 s) share the engines, and
 * a burst of both makes the long ones late. The level compares the mean expected wait of the service with the wait that requests
 * bear within their target latency. The share of the less urgent requests falls while the wait is a fraction of what the more
 * urgent routes bear, and that of any requests only when the wait is about what they bear themselves. The share is a function of
 * the wait and its age, so it ends with its cause, and all instances agree on it as far as they see the same wait. Not thread-safe.
 */
public class ServiceOverload(
    table: ServingTable,
    private val service: String,
) {
    private var routes: List<ServedRoute> = emptyList()
    private val workTimes = HashMap<String, Duration>()
    private val tokenMeans = HashMap<String, Double>()
    private var completedRuns = 0

    /** True if the level applies: the service has engines, and its routes differ in priority. */
    public var isApplicable: Boolean = false
        private set

    /** True once enough runs have ended to know how long their output takes. */
    public val knowsOutputTime: Boolean get() = completedRuns >= MIN_COMPLETED_RUNS

    /** Load of the service as of the last [update]. */
    public var load: ServiceLoad = ServiceLoad(Duration.ZERO, null)
        private set

    /** True while the wait is so long that less urgent requests are delayed or refused. */
    public var isEngaged: Boolean = false
        private set

    init {
        updateTable(table)
    }

    /** Sets the serving [table]; what was learned of routes that are in use on stays. */
    public fun updateTable(table: ServingTable) {
        routes = table.routes.filter { route -> route.services.any { it.service == service } }
        isApplicable = table.service(service)?.engine == true && routes.map { it.priority }.distinct().size > 1
        val names = routes.mapTo(HashSet()) { it.name }
        workTimes.keys.retainAll(names)
        tokenMeans.keys.retainAll(names)
    }

    /** Records that the output of a run is complete. */
    public fun onCompleted() {
        completedRuns++
    }

    /** Sets the load of the service and returns true if [isEngaged] changed. */
    public fun update(load: ServiceLoad): Boolean {
        this.load = load
        val lowest = routes.maxOfOrNull { it.priority } ?: return false
        val pressure = pressure(lowest)
        val before = isEngaged
        isEngaged = weight() > 0 && pressure >= if (before) HOLD_BAND.start else ENGAGING_PRESSURE
        return before != isEngaged
    }

    /** Records that a request of [route] with [tokens] is sent, which has its first output [workTime] after its turn. */
    public fun onStarted(
        route: ServedRoute,
        workTime: Duration,
        tokens: Int,
    ) {
        val time = workTimes[route.name] ?: workTime
        workTimes[route.name] = time.plus(workTime.minus(time).dividedBy(WEIGHT_DIVISOR))
        val mean = meanTokens(route)
        tokenMeans[route.name] = if (mean > 0) mean + (tokens - mean) / WEIGHT_DIVISOR else tokens.toDouble()
    }

    /** Mean tokens of the requests of [route]; 0 without a request. */
    public fun meanTokens(route: ServedRoute): Double = tokenMeans[route.name] ?: 0.0

    /** Mean time of a request of [route] from its turn to its first output, within a fraction of its target latency. */
    public fun workTime(route: ServedRoute): Duration {
        val target = route.targetLatency.toNanos()
        val bounds = (target * MIN_WORK_SHARE).toLong()..(target * MAX_WORK_SHARE).toLong()
        return Duration.ofNanos((workTimes[route.name]?.toNanos() ?: bounds.first).coerceIn(bounds))
    }

    /** Time by which a request of [route] that arrived at [arrivedNanos] has to be sent to be on time at the present wait. */
    public fun latestSendNanos(
        route: ServedRoute,
        arrivedNanos: Long,
    ): Long {
        val isPassed = routes.any { it.priority < route.priority }
        val wait = load.meanWait.multipliedBy(if (isPassed) PASSED_WAIT_FACTOR else 1)
        return arrivedNanos + bearableWait(route).minus(wait).toNanos()
    }

    /** Shares of the requests of [route] with the effective [priority] that the service has room for. */
    public fun shares(
        route: ServedRoute,
        priority: Int,
    ): AdmissionShares {
        if (!isEngaged) return AdmissionShares.ALL
        val others = pressure(priority)
        val own = ownPressure(route)
        val now = minOf(share(others, HOLD_BAND), share(own, OWN_HOLD_BAND))
        val afterWait = minOf(share(others, REFUSAL_BAND), share(own, OWN_REFUSAL_BAND))
        val isOwn = share(own, OWN_REFUSAL_BAND) < share(others, REFUSAL_BAND)
        return AdmissionShares(now, afterWait, if (isOwn) AdmissionObstacle.OVERLOADED else AdmissionObstacle.LESS_URGENT)
    }

    /** Wait as a fraction of what the routes that are more urgent than [priority] bear; 0 if there are none. */
    private fun pressure(priority: Int): Double = routes.filter { it.priority < priority }.maxOfOrNull(::ownPressure) ?: 0.0

    private fun ownPressure(route: ServedRoute): Double =
        load.meanWait.toNanos().toDouble() / maxOf(1.0, bearableWait(route).toNanos().toDouble())

    private fun bearableWait(route: ServedRoute): Duration = route.targetLatency.minus(workTime(route))

    /** Falls from 1 to the floor while the pressure passes the [band]; figures without weight leave it at 1. */
    private fun share(
        pressure: Double,
        band: ClosedFloatingPointRange<Double>,
    ): Double {
        val position = ((pressure - band.start) / (band.endInclusive - band.start)).coerceIn(0.0, 1.0)
        return 1.0 - weight() * position * (1.0 - FLOOR_SHARE)
    }

    /** Weight of the load figures by their age. */
    private fun weight(): Double {
        val age = load.age ?: return 0.0
        val excess = age.minus(FULL_WEIGHT_AGE).toNanos().toDouble()
        return (1.0 - excess / (MAX_AGE.minus(FULL_WEIGHT_AGE).toNanos())).coerceIn(0.0, 1.0)
    }

    private companion object {
        /**
         * Share that each kind of request gets in any overload. With at least 0.07 no kind is served less than a quarter as often as
         * the mean of all, also when it is four fifths of the requests.
         */
        const val FLOOR_SHARE = 0.1

        /** The level is engaged at this fraction of the bearable wait and disengaged at the start of [HOLD_BAND]. */
        const val ENGAGING_PRESSURE = 0.45

        // Figures are half a second old, so a band has to be so wide that the wait does not cross it within that time. The bands
        // for less urgent requests end where those for the more urgent ones begin.
        val HOLD_BAND = 0.35..0.65
        val REFUSAL_BAND = 0.45..0.75
        val OWN_HOLD_BAND = 0.9..1.3
        val OWN_REFUSAL_BAND = 1.0..1.5

        /** Engines read the prompts of more urgent requests first, so the others wait for longer than the mean. */
        const val PASSED_WAIT_FACTOR = 3L

        /** Figures older than this count less; they normally are half a second old. */
        val FULL_WEIGHT_AGE: Duration = Duration.ofSeconds(1)

        /** Figures older than this do not count, so that the level ends within two seconds of the last figure. */
        val MAX_AGE: Duration = Duration.ofSeconds(2)

        /** The time of the output is a mean with a weight of 0.05 for the newest run; before it rests on a prior or on few runs. */
        const val MIN_COMPLETED_RUNS = 20

        /** The newest request counts as much as this fraction of the means. */
        const val WEIGHT_DIVISOR = 32L

        /** Bounds of the work time as a share of the target latency; a wrong estimate must not leave a route without any wait. */
        const val MIN_WORK_SHARE = 0.2
        const val MAX_WORK_SHARE = 0.6
    }
}
