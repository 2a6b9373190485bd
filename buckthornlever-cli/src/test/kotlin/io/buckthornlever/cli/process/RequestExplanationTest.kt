package io.buckthornlever.cli.process

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue

/** Guards against explanations that mix up requests or instances, or leave out the level and the age of the figures behind a refusal. */
class RequestExplanationTest {
    @Test
    fun `a refusal under overload names its reason, the level and the age of the figures`() {
        val explanation = assertNotNull(RequestExplanation.of("r18", LOG.lineSequence()))
        assertEquals(1, explanation.events.size)
        assertEquals(
            listOf(
                "refused after 2 ms and 0 attempts: the service has room for more urgent requests only; " +
                    "proof of execution: NOT_RUN",
                "overload: priority 2, room for 18% of such requests at once and for 48% after a wait, " +
                    "mean wait of 224 ms by figures that were 1 ms old; s was overloaded from 2026-12-07T01:09:10.324Z on",
            ),
            explanation.reasons,
        )
    }

    @Test
    fun `the attempts of a request come in the order of their time, whichever log they stand in`() {
        val explanation = assertNotNull(RequestExplanation.of("r1", LOG.lines().reversed().asSequence()))
        assertEquals(listOf("i1", "i1", "i2"), explanation.events.map { it.split(' ')[1] })
        val attempt = "an attempt at u1 ended: Broken(reason=no progress in time, isConnectionLost=false), then TRY_ANOTHER"
        assertEquals(attempt, explanation.reasons.first())
        assertTrue(explanation.reasons.last().startsWith("refused before it was placed: quota"))
    }

    @Test
    fun `an id that is a part of another one is not taken for it`() {
        assertNull(RequestExplanation.of("r", LOG.lineSequence()))
        assertEquals(1, RequestExplanation.of("r18", LOG.lineSequence())?.events?.size)
    }

    @Test
    fun `lines that are no events are left out`() {
        val lines = sequenceOf("", "java.lang.Error: request=r1", "BL-2302", "\tat r1", "x INFO BL-2302 request=r1")
        assertNull(RequestExplanation.of("r1", lines))
    }

    private companion object {
        val LOG =
            """
            2026-12-07T01:09:10.300Z INFO  BL-2308 delaying or refusing of less urgent requests started or ended instance=i2 service=t engaged=true
            2026-12-07T01:09:10.324Z INFO  BL-2308 delaying or refusing of less urgent requests started or ended instance=i1 service=s engaged=true
            2026-12-07T01:09:10.326Z INFO  BL-2303 attempt ended without a usable answer instance=i1 request=r1 upstream=u1 end="Broken(reason=no progress in time, isConnectionLost=false)" next=TRY_ANOTHER
            2026-12-07T01:09:10.334Z INFO  BL-2302 request finished instance=i1 request=r18 route=short units=20 sends=0 proof=NOT_RUN millis=2 outcome=refused reason="the service has room for more urgent requests only" priority=2 roomShare=0.18 roomShareAfterWait=0.48 waitMillis=224 loadAgeMillis=1
            2026-12-07T01:09:10.340Z INFO  BL-2302 request finished instance=i1 request=r1 route=long sends=2 proof=HAS_RUN millis=14 outcome=served
            2026-12-07T01:09:10.350Z INFO  BL-2308 delaying or refusing of less urgent requests started or ended instance=i1 service=s engaged=false
            2026-12-07T01:09:11.000Z INFO  BL-2301 request refused before it was placed instance=i2 request=r1 status=429 reason=quota
            """.trimIndent()
    }
}
