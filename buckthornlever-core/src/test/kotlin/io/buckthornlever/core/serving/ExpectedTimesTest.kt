package io.buckthornlever.core.serving

import io.buckthornlever.api.connection.UpstreamId
import io.buckthornlever.api.process.FailureDomain
import io.buckthornlever.api.process.InstanceId
import java.time.Duration
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue

/** Guards against admission by times that ignore the prompt, the load or the output of a request. */
class ExpectedTimesTest {
    private val balancer = UpstreamBalancer(InstanceId("i1"), FailureDomain("a"), ManualClock())
    private val query = PlacementQuery("s", promptTokens = 6_000, expectedOutputTokens = 100)

    @Test
    fun `the first event is expected after the prompt and what is ahead of it has been read`() {
        val entry = register("u1")
        assertEquals(Duration.ofMillis(100), balancer.expectedTimes(entry, query, 0).firstOutput)
        balancer.onRequestSent(entry, 12_000, 0)
        val behindAnother = balancer.expectedTimes(entry, query, 0).firstOutput
        assertTrue(behindAnother >= Duration.ofMillis(300), "$behindAnother")
    }

    @Test
    fun `the last event is expected after the output at the pace of earlier streams`() {
        val entry = register("u1")
        repeat(200) { balancer.onOutputFinished(entry, 50, Duration.ofSeconds(1)) }
        val times = balancer.expectedTimes(entry, query, 0)
        assertEquals(2_000.0, times.lastOutput.minus(times.firstOutput).toMillis().toDouble(), 20.0)
    }

    @Test
    fun `a request without a prompt has its response when requests usually end`() {
        val entry = register("u1")
        balancer.onRequestSent(entry, 0, 0)
        balancer.onRequestFinished(entry, false, 0, Duration.ofMillis(40))
        val times = balancer.expectedTimes(entry, PlacementQuery("s"), 0)
        assertEquals(Duration.ofMillis(40), times.firstOutput)
        assertEquals(times.firstOutput, times.lastOutput)
    }

    @Test
    fun `the load of a service is the mean over the upstreams that take requests`() {
        val first = register("u1")
        register("u2")
        balancer.onRegistered(ServingFixtures.upstream("u3", leaving = true), 0)
        assertEquals(ServiceLoad(Duration.ZERO, null), balancer.serviceLoad("s", 0))
        balancer.onRequestSent(first, 12_000, 0)
        balancer.onLoadReported(first, 1, 0, Duration.ofMillis(30).toNanos())
        val load = balancer.serviceLoad("s", Duration.ofMillis(50).toNanos())
        assertEquals(137.5, load.meanWait.toNanos() / 1e6, 0.1)
        assertEquals(Duration.ofMillis(20), load.age)
        assertNull(balancer.serviceLoad("other", 0).age)
    }

    @Test
    fun `a service whose upstreams have become idle has no wait, whatever its mean load was`() {
        val entry = register("u1")
        balancer.onRequestSent(entry, 100, 0)
        balancer.onPromptRead(entry, 100)
        balancer.onRequestFinished(entry, false, 0, Duration.ofMillis(40))
        repeat(200) { balancer.onLoadReported(entry, 8, 0, Duration.ofMillis(100L * it).toNanos()) }
        val idleNanos = Duration.ofSeconds(20).toNanos()
        balancer.onLoadReported(entry, 0, 0, idleNanos)
        val load = balancer.serviceLoad("s", idleNanos + Duration.ofMillis(400).toNanos())
        assertEquals(ServiceLoad(Duration.ZERO, Duration.ofMillis(400)), load)
    }

    @Test
    fun `prompt parts that upstreams hold do not count as read once enough prompts are known`() {
        val entry = register("u1")
        repeat(100) { balancer.onRequestSent(entry, 3_000, 0, promptTokens = 12_000) }
        assertEquals(1.0, balancer.readShare("s"))
        repeat(100) { balancer.onRequestSent(entry, 3_000, 0, promptTokens = 12_000) }
        assertEquals(0.25, balancer.readShare("s"), 0.001)
        assertEquals(1.0, balancer.readShare("other"))
    }

    private fun register(id: String): UpstreamEntry {
        balancer.onRegistered(ServingFixtures.upstream(id), 0)
        return balancer.upstreams.first { it.upstream.id == UpstreamId(id) }
    }
}
