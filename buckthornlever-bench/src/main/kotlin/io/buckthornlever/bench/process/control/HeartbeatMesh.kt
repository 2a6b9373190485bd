package io.buckthornlever.bench.process.control

import java.time.Duration
import kotlin.random.Random

/**
 * Naive membership: each instance sends a heartbeat to every other one each second and takes one that is silent for five seconds for
 * dead. A leaving instance sends its last heartbeat with a mark; who misses it notices the silence.
 */
internal class HeartbeatMesh(
    private val size: Int,
    private val loss: Double,
    seed: Long,
) {
    private val random = Random(seed)

    /** Messages per instance and second. */
    val messagesPerSecond: Double get() = (size - 1).toDouble()

    /** Bytes per instance and second when a heartbeat has [heartbeatBytes]. */
    fun bytesPerSecond(heartbeatBytes: Int): Double = messagesPerSecond * heartbeatBytes

    /** Time until all others know that an instance left. */
    fun leave(): Duration = if ((1 until size).any { random.nextDouble() < loss }) death() else ONE_WAY

    /** Time until all others know that an instance died: each has heard it last up to some periods before its death. */
    fun death(): Duration = Duration.ofMillis((1 until size).maxOf { deathAt() })

    private fun deathAt(): Long {
        val phase = random.nextLong(PERIOD_MILLIS)
        var lastHeard = -phase
        while (random.nextDouble() < loss) lastHeard -= PERIOD_MILLIS
        return lastHeard + SILENT_PERIODS * PERIOD_MILLIS
    }

    private companion object {
        const val PERIOD_MILLIS = 1_000L
        const val SILENT_PERIODS = 5
        val ONE_WAY: Duration = Duration.ofMillis(1)
    }
}
