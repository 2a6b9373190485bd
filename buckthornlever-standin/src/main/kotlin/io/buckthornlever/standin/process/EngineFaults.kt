package io.buckthornlever.standin.process

import io.buckthornlever.standin.version.VersionFaults
import java.util.concurrent.atomic.AtomicInteger

/** Fault switches of an [EngineStandIn]. */
public class EngineFaults {
    private val silences = AtomicInteger()
    private val swaps = AtomicInteger()
    private val lateChunks = AtomicInteger()
    private val lostOrders = AtomicInteger()

    /** Defects of versions. */
    public val versions: VersionFaults = VersionFaults()

    /** Token index before which a stream chosen by [silenceStreams], [swapChunks] or [insertLateChunks] is disturbed. */
    @Volatile
    public var disturbAtToken: Int = 2

    /** Age in milliseconds that a cache event reaches before it is reported. */
    @Volatile
    public var cacheEventDelayMillis: Long = 0

    /** Every n-th cache event is never reported, which leaves a gap in the sequence; none when 0. */
    @Volatile
    public var cacheEventDropEvery: Int = 0

    /** Age in milliseconds up to which a load report may be out of date. */
    @Volatile
    public var loadLagMillis: Long = 0

    /** The engine crashes when it starts to execute a request whose prompt contains this text; never when null. */
    @Volatile
    public var crashMarker: String? = null

    /** Time in milliseconds from a crash to the restart, cold; no restart when null. */
    @Volatile
    public var restartAfterMillis: Long? = null

    /** Overrides [EngineConfig.honoursFencing] when not null. */
    @Volatile
    public var honoursFencing: Boolean? = null

    /** The connections of the next [count] streams stay silent for good from [disturbAtToken] on. */
    public fun silenceStreams(count: Int): Unit = silences.set(count)

    /** The next [count] answers get the id and text of another request in place of their own from [disturbAtToken] on. */
    public fun swapChunks(count: Int): Unit = swaps.set(count)

    /** The next [count] streams get one additional chunk of another request before [disturbAtToken]. */
    public fun insertLateChunks(count: Int): Unit = lateChunks.set(count)

    /** The next [count] orders are executed, then their connection is closed without an answer. */
    public fun loseOrderResponses(count: Int): Unit = lostOrders.set(count)

    internal fun takeSilence(): Boolean = take(silences)

    internal fun takeSwap(): Boolean = take(swaps)

    internal fun takeLateChunk(): Boolean = take(lateChunks)

    internal fun takeLostOrder(): Boolean = take(lostOrders)

    private fun take(count: AtomicInteger): Boolean = count.getAndUpdate { if (it > 0) it - 1 else 0 } > 0
}
