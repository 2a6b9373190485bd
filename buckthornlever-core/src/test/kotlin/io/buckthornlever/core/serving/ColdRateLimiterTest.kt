package io.buckthornlever.core.serving

import io.buckthornlever.api.connection.UpstreamId
import io.buckthornlever.api.process.InstanceId
import java.time.Duration
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Guards against more requests from all instances together than a cold upstream can take. */
class ColdRateLimiterTest {
    private val upstream = UpstreamId("u1")
    private val all = (1..INSTANCES).mapTo(HashSet()) { InstanceId("i$it") }

    @Test
    fun `instances that have not listed the others send nothing to a cold upstream`() {
        val limiters = all.map { limiter(it, 0) }
        assertEquals(0, limiters.sumOf { sends(it, from = 5_000, until = 6_000) })
        limiters.forEach { it.instances = all }
        assertTrue(limiters.sumOf { sends(it, from = 6_000, until = 7_000) } in 1..PER_SECOND)
    }

    @Test
    fun `instances that restart within a second do not use their rate once more`() {
        val before = all.map { limiter(it, 0).apply { instances = all } }
        val sent = before.sumOf { sends(it, from = 5_000, until = 5_400) }
        val restarted = all.map { limiter(it, 5_400).apply { instances = all } }
        val sentAfter = restarted.sumOf { sends(it, from = 5_400, until = 5_990) }
        assertTrue(sent + sentAfter in 1..PER_SECOND, "$sent and $sentAfter requests in a second")
    }

    private fun limiter(
        self: InstanceId,
        startMillis: Long,
    ) = ColdRateLimiter(self, Duration.ofMillis(startMillis).toNanos())

    private fun sends(
        limiter: ColdRateLimiter,
        from: Long,
        until: Long,
    ): Int =
        (from until until step 10).count { at ->
            val nanos = Duration.ofMillis(at).toNanos()
            val permitted = limiter.permits(upstream, PER_SECOND.toDouble(), nanos)
            if (permitted) limiter.onSent(upstream, PER_SECOND.toDouble(), nanos)
            permitted
        }

    private companion object {
        const val INSTANCES = 7
        const val PER_SECOND = 4
    }
}
