package io.buckthornlever.core.serving

import io.buckthornlever.api.serving.ServedRoute
import java.time.Duration
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNull
import kotlin.test.assertTrue

/** Guards against late refusals, refusals of what could wait, and waits that use up the caller's time. */
class OverloadAdmissionTest {
    private var load = ServiceLoad(Duration.ZERO, null)
    private val long = ServingFixtures.stream("long", 0, 1_000, 15_000)
    private val short = ServingFixtures.stream("short", 2, 2_000, 3_000)
    private val admission = OverloadAdmission({ _, _ -> load }, AccountShares())

    init {
        admission.updateTable(ServingFixtures.table().copy(routes = listOf(long, short)))
    }

    @Test
    fun `requests without a prospect are refused within an eighth of their target latency`() {
        setWait(440)
        val refusals = (0L until 1_000L).count { decide(short, it, 250) is AdmissionStep.Refuse }
        assertTrue(refusals in 250..350, "$refusals")
        assertEquals(0, (0L until 1_000L).count { decide(short, it, 249) is AdmissionStep.Refuse })
    }

    @Test
    fun `requests that would be late in any case are refused at once`() {
        setWait(700)
        val refusals = (0L until 1_000L).count { decide(short, it, 0) is AdmissionStep.Refuse }
        assertTrue(refusals in 850..950, "$refusals")
    }

    @Test
    fun `urgent requests are sent while less urgent ones wait`() {
        setWait(700)
        assertEquals(1_000, (0L until 1_000L).count { decide(long, it, 0) == AdmissionStep.Admit })
    }

    @Test
    fun `a request that waits is sent when the wait falls`() {
        setWait(400)
        val waiting = (0L until 1_000L).filter { decide(short, it, 300) is AdmissionStep.Hold }
        assertTrue(waiting.isNotEmpty())
        setWait(250)
        assertEquals(waiting.size, waiting.count { decide(short, it, 320) == AdmissionStep.Admit })
    }

    @Test
    fun `a request that waits is sent before a longer wait would make it late`() {
        setWait(400)
        val hold = assertIs<AdmissionStep.Hold>((0L until 1_000L).map { decide(short, it, 300) }.first { it is AdmissionStep.Hold })
        assertTrue(hold.recheckNanos < short.targetLatency.toNanos())
        assertEquals(0, (0L until 1_000L).count { decide(short, it, hold.recheckNanos / 1_000_000 + 1) is AdmissionStep.Hold })
    }

    @Test
    fun `a caller that returns with less time comes before others and a large request after them`() {
        setWait(480)
        assertTrue(admitted(timeLeftMillis = 2_000) > admitted(timeLeftMillis = 3_000))
        admission.overloadOf("s")?.onStarted(short, Duration.ofMillis(100), 1_000)
        assertTrue(admitted(tokens = 100) > admitted(tokens = 10_000))
    }

    @Test
    fun `a refused caller learns when to return only if that can help`() {
        setWait(700)
        val refused = (0L until 1_000L).first { decide(short, it, 250) is AdmissionStep.Refuse }
        val retryAfter = checkNotNull((decide(short, refused, 250) as AdmissionStep.Refuse).retryAfter)
        assertTrue(retryAfter <= Duration.ofMillis((3_000 - 250) / 3))
        assertNull((decide(short, refused, 2_900) as AdmissionStep.Refuse).retryAfter)
    }

    @Test
    fun `a service of one priority and an unknown one are not limited`() {
        setWait(5_000)
        admission.updateTable(ServingFixtures.table().copy(routes = listOf(short)))
        assertEquals(AdmissionStep.Admit, decide(short, 1, 0))
        admission.updateTable(ServingFixtures.table().copy(routes = listOf(long, short), services = emptyList()))
        assertEquals(AdmissionStep.Admit, decide(short, 1, 0))
    }

    private fun admitted(
        timeLeftMillis: Long = 3_000,
        tokens: Int = 100,
    ): Int = (0L until 1_000L).count { decide(short, it, 0, timeLeftMillis, tokens) == AdmissionStep.Admit }

    private fun setWait(millis: Long) {
        load = ServiceLoad(Duration.ofMillis(millis), Duration.ofMillis(300))
    }

    private fun decide(
        route: ServedRoute,
        id: Long,
        afterMillis: Long,
        timeLeftMillis: Long = route.timeout.toMillis(),
        tokens: Int = 100,
    ): AdmissionStep {
        val tieBreak = StableHash.of("r$id")
        val priority = RequestPriority(route.priority)
        val request = OverloadRequest("s", route, priority, null, tieBreak, tokens, 0, timeLeftMillis * 1_000_000)
        return admission.decide(request, afterMillis * 1_000_000)
    }
}
