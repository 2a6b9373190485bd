package io.buckthornlever.core.serving

import java.time.Duration

/**
 * Estimates when upstreams have output for a request, from what they state, what this instance has sent there and how they have
 * answered before. Not thread-safe.
 *
 * It is made for bursts in which reading prompts is the bottleneck: some upstreams have hundreds of milliseconds of prompts to read
 * while others are idle, and on busy machines some of them work at less than half of the usual pace.
 */
internal class ExpectedTimeEstimator {
    private val requestTimes = RequestTimes()
    private val outputPace = OutputPace()
    private val services = HashMap<String, ServiceModel>()

    /** Records that a request to [service] took [time]. */
    fun onFinished(
        service: String,
        time: Duration,
    ): Unit = requestTimes.onFinished(service, time)

    /** Records that a request with [promptTokens] is sent to an upstream of [service], which has to read [tokens] of them. */
    fun onPromptSent(
        service: String,
        tokens: Int,
        promptTokens: Int,
    ) {
        val model = model(service)
        model.readsPrompts = true
        model.readTokens += (tokens - model.readTokens) * READ_SHARE_WEIGHT
        model.promptTokens += (maxOf(tokens, promptTokens) - model.promptTokens) * READ_SHARE_WEIGHT
        model.prompts++
    }

    /** Share of the prompt tokens for [service] that its upstreams have to read; 1 until enough prompts are known. */
    fun readShare(service: String): Double {
        val model = model(service)
        return if (model.prompts < MIN_PROMPTS) 1.0 else model.readTokens / maxOf(1.0, model.promptTokens)
    }

    /** Prompt tokens per second that an upstream of [service] reads at the mean slowdown; null as long as no pace is learned. */
    fun tokensPerSecond(service: String): Double? {
        val model = model(service)
        if (!model.pace.isLearned) return null
        return MILLIS_PER_SECOND / model.pace.millisPerToken / maxOf(1.0, model.figures.meanSlowdown)
    }

    /** Records that a stream of [service] with [expectedTokens] expected output tokens took [time] from its first to its last event. */
    fun onOutputFinished(
        service: String,
        expectedTokens: Int,
        time: Duration,
    ): Unit = outputPace.onFinished(service, expectedTokens, time)

    /** Records the time to the first event of a request that was sent to [entry] on [basis]. */
    fun onFirstOutput(
        entry: UpstreamEntry,
        basis: PlacementBasis,
        time: Duration,
        nanos: Long,
    ) {
        val pace = model(entry.upstream.service).pace
        val slowdown = slowdownDuring(entry, basis, nanos)
        val millis = time.toNanos() / NANOS_PER_MILLI / slowdown
        val tokens = (basis.tokensToRead + basis.tokensAhead).toDouble()
        entry.onPaceObserved(millis / maxOf(1.0, pace.waitMillis(tokens, basis.loadShare) + pace.constantMillis), nanos)
        pace.observe(tokens, basis.loadShare, millis)
    }

    /** Records that [entry] stated [figure] and thus held [others] requests of other instances; called before the entry changes. */
    fun onFigure(
        entry: UpstreamEntry,
        figure: LoadFigure,
        others: Int,
    ): Unit = model(entry.upstream.service).figures.observe(entry, figure, others.toDouble() / maxOf(1, entry.slots))

    /** Mean time that a request to [service] takes. */
    fun requestTime(service: String): Duration = requestTimes.of(service)

    /** What the load figures of [service] tell about each other. */
    fun figures(service: String): ServiceFigures = model(service).figures

    /** Expected time in milliseconds until [entry] has output for a request of which it has to read [tokens] prompt tokens. */
    fun firstOutputMillis(
        entry: UpstreamEntry,
        tokens: Int,
        nanos: Long,
    ): Double {
        val model = model(entry.upstream.service)
        val share = loadShare(entry, model, nanos)
        val slowdown = model.figures.expectedSlowdown(entry, nanos)
        val wait = slotWaitMillis(entry, share) * slowdown
        if (tokens <= 0) return wait + requestMillis(entry) * slowdown
        val reading = model.pace.waitMillis((tokens + entry.pendingTokens).toDouble(), share) + model.pace.constantMillis
        return wait + reading * slowdown * entry.paceRatio(nanos)
    }

    /**
     * Time in milliseconds to the response of a request without a prompt at [entry], with a load and a slowdown drawn with [loadNoise]
     * and [slowdownNoise], see [ServiceFigures.drawnLoadShare]. Such requests don't wait before the slots are taken; the share of the
     * slots that is taken counts all the same, so that they are spread before that.
     */
    fun drawnPlainMillis(
        entry: UpstreamEntry,
        loadNoise: Double,
        slowdownNoise: Double,
        nanos: Long,
    ): Double {
        val model = model(entry.upstream.service)
        val share = loadShare(entry, model, nanos)
        val time = (slotWaitMillis(entry, share) + requestMillis(entry)) * model.figures.drawnSlowdown(entry, slowdownNoise, nanos)
        return time + PromptPace.LOAD_MILLIS * (share + model.figures.drawnLoadShare(entry, loadNoise, nanos))
    }

    /** Time in milliseconds that a load drawn with [noise], see [ServiceFigures.drawnLoadShare], adds to the expected one at [entry]. */
    fun drawnLoadMillis(
        entry: UpstreamEntry,
        noise: Double,
        nanos: Long,
    ): Double {
        val model = model(entry.upstream.service)
        return model.figures.drawnLoadShare(entry, noise, nanos) * model.pace.millisPerSlots
    }

    /** Time in milliseconds that upstreams of [service] take to read a prompt token. */
    fun millisPerToken(service: String): Double = model(service).pace.millisPerToken

    /**
     * Time in milliseconds by which the first output of a request with [tokens] prompt tokens to read at [entry] may differ from the
     * expected one, since the figure of [entry] is old: one standard deviation of the reading time and of the wait.
     */
    fun uncertainMillis(
        entry: UpstreamEntry,
        tokens: Int,
        nanos: Long,
    ): Double {
        val model = model(entry.upstream.service)
        val reading = (tokens + entry.pendingTokens) * model.pace.millisPerToken * model.figures.slowdownDeviation(entry, nanos)
        return reading + model.pace.millisPerSlots * model.figures.loadDeviation(entry, nanos)
    }

    /** Requests that [entry] is expected to hold, as a share of its slots. */
    fun loadShare(
        entry: UpstreamEntry,
        nanos: Long,
    ): Double = loadShare(entry, model(entry.upstream.service), nanos)

    /** Expected times of [query] at [entry], which holds [heldTokens] of its prompt. */
    fun expectedTimes(
        entry: UpstreamEntry,
        query: PlacementQuery,
        heldTokens: Int,
        nanos: Long,
    ): ExpectedTimes {
        val first = durationOf(firstOutputMillis(entry, tokensToRead(query, heldTokens), nanos))
        if (query.promptTokens <= 0) return ExpectedTimes(first, first)
        val figures = figures(query.service)
        val output = outputPace.timeOf(query.service, query.expectedOutputTokens).toNanos() / NANOS_PER_MILLI
        return ExpectedTimes(first, first.plus(durationOf(output * figures.expectedSlowdown(entry, nanos) / figures.meanSlowdown)))
    }

    /** What is known of [entry], which holds [heldTokens] of the prompt of [query], when the request is sent there. */
    fun basis(
        entry: UpstreamEntry,
        query: PlacementQuery,
        heldTokens: Int,
        nanos: Long,
    ): PlacementBasis =
        PlacementBasis(
            tokensToRead(query, heldTokens),
            entry.pendingTokens,
            loadShare(entry, nanos),
            figures(query.service).expectedSlowdown(entry, nanos),
            entry.figureAge(nanos),
            expectedTimes(entry, query, heldTokens, nanos),
        )

    /** Load of [service], computed from its [upstreams] unless that was done within [SERVICE_LOAD_TIME] before. */
    fun serviceLoad(
        service: String,
        nanos: Long,
        upstreams: () -> List<UpstreamEntry>,
    ): ServiceLoad {
        val model = model(service)
        model.load?.takeIf { nanos - model.loadNanos in 0..<SERVICE_LOAD_TIME.toNanos() }?.let { return it }
        val load = computeServiceLoad(model, upstreams(), nanos)
        model.load = load
        model.loadNanos = nanos
        return load
    }

    private fun computeServiceLoad(
        model: ServiceModel,
        upstreams: List<UpstreamEntry>,
        nanos: Long,
    ): ServiceLoad {
        if (upstreams.isEmpty()) return ServiceLoad(Duration.ZERO, null)
        val wait = upstreams.sumOf { waitMillis(it, model, nanos) } / upstreams.size
        val reports = upstreams.mapNotNull { it.figure?.nanos }
        val age = if (reports.isEmpty()) null else Duration.ofNanos(reports.sumOf { nanos - it } / reports.size)
        return ServiceLoad(durationOf(wait), age)
    }

    /**
     * Wait at [entry] by the load that it stated. It is not drawn towards the mean of the service as the one for a single upstream is:
     * after a burst that mean is high for dozens of figures, and would keep an idle service overloaded.
     */
    private fun waitMillis(
        entry: UpstreamEntry,
        model: ServiceModel,
        nanos: Long,
    ): Double {
        val share = entry.inFlight.toDouble() / maxOf(1, entry.slots) + entry.loadShareOfOtherInstances
        val reading = if (model.readsPrompts) model.pace.waitMillis(entry.pendingTokens.toDouble(), share) * entry.paceRatio(nanos) else 0.0
        return (slotWaitMillis(entry, share) + reading) * model.figures.expectedSlowdown(entry, nanos)
    }

    private fun loadShare(
        entry: UpstreamEntry,
        model: ServiceModel,
        nanos: Long,
    ): Double = (entry.inFlight + model.figures.expectedLoadOfOthers(entry, nanos)) / maxOf(1, entry.slots)

    /** Time until a slot is free at an upstream that holds requests for [loadShare] of its slots. */
    private fun slotWaitMillis(
        entry: UpstreamEntry,
        loadShare: Double,
    ): Double {
        val excess = loadShare - 1 + 1.0 / maxOf(1, entry.slots)
        return if (excess <= 0) 0.0 else excess * requestMillis(entry)
    }

    private fun requestMillis(entry: UpstreamEntry): Double = requestTimes.of(entry.upstream.service).toNanos() / NANOS_PER_MILLI

    /** Mean of the slowdown that was expected and the one that the upstream states with its answer, if it states one. */
    private fun slowdownDuring(
        entry: UpstreamEntry,
        basis: PlacementBasis,
        nanos: Long,
    ): Double {
        val stated = entry.figure?.takeIf { nanos - it.nanos <= ANSWER_NANOS }?.slowdown ?: return basis.slowdown
        return (basis.slowdown + stated) / 2
    }

    private fun tokensToRead(
        query: PlacementQuery,
        heldTokens: Int,
    ): Int = if (query.promptTokens <= 0) 0 else maxOf(1, query.promptTokens - heldTokens)

    private fun durationOf(millis: Double): Duration = Duration.ofNanos((millis * NANOS_PER_MILLI).toLong())

    private fun model(service: String): ServiceModel = services.getOrPut(service) { ServiceModel() }

    private class ServiceModel {
        val figures = ServiceFigures()
        val pace = PromptPace()
        var readsPrompts = false
        var readTokens = 0.0
        var promptTokens = 0.0
        var prompts = 0L
        var load: ServiceLoad? = null
        var loadNanos = 0L
    }

    private companion object {
        const val NANOS_PER_MILLI = 1e6
        const val MILLIS_PER_SECOND = 1e3

        /** The share of tokens read is a mean over some two hundred prompts; large ones are rare. */
        const val READ_SHARE_WEIGHT = 0.005
        const val MIN_PROMPTS = 200L

        /** A figure that is not older than this when the first event arrives was stated with it. */
        const val ANSWER_NANOS = 50_000_000L

        /** The load of a service is computed once in this time, so that asking for it with each request stays cheap. */
        val SERVICE_LOAD_TIME: Duration = Duration.ofMillis(20)
    }
}
