package io.buckthornlever.standin.process

import io.buckthornlever.standin.version.VersionFaults
import java.util.concurrent.atomic.AtomicInteger

/** Fault switches of a [PlainServiceStandIn]. */
public class PlainServiceFaults {
    private val failuresBefore = AtomicInteger()
    private val failuresAfter = AtomicInteger()
    private val lost = AtomicInteger()
    private val silent = AtomicInteger()

    /** Defects of versions. */
    public val versions: VersionFaults = VersionFaults()

    /** Time in milliseconds that the execution of each request takes. */
    @Volatile
    public var delayMillis: Long = 0

    /** Age in milliseconds up to which a load report may be out of date. */
    @Volatile
    public var loadLagMillis: Long = 0

    /** The service crashes when the body of a request contains this text; never when null. */
    @Volatile
    public var crashMarker: String? = null

    /** Time in milliseconds from a crash to the restart, cold; no restart when null. */
    @Volatile
    public var restartAfterMillis: Long? = null

    /** The next [count] requests are answered with 500 without being executed. */
    public fun failBeforeExecution(count: Int): Unit = failuresBefore.set(count)

    /** The next [count] requests are executed, then answered with 500. */
    public fun failAfterExecution(count: Int): Unit = failuresAfter.set(count)

    /** The next [count] requests are executed, then their connection is closed without an answer. */
    public fun loseResponses(count: Int): Unit = lost.set(count)

    /** The next [count] requests are executed, then their connection stays silent for good. */
    public fun silenceResponses(count: Int): Unit = silent.set(count)

    internal fun takeFailureBefore(): Boolean = take(failuresBefore)

    internal fun takeFailureAfter(): Boolean = take(failuresAfter)

    internal fun takeLostResponse(): Boolean = take(lost)

    internal fun takeSilence(): Boolean = take(silent)

    private fun take(count: AtomicInteger): Boolean = count.getAndUpdate { if (it > 0) it - 1 else 0 } > 0
}
