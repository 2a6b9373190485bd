package io.buckthornlever.gateway.process

import ch.qos.logback.classic.Logger
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.read.ListAppender
import org.slf4j.LoggerFactory
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class EventLogTest {
    private val lines = ListAppender<ILoggingEvent>().apply { start() }
    private val logger = (LoggerFactory.getLogger("buckthornlever") as Logger).apply { addAppender(lines) }

    @AfterTest
    fun detach() {
        logger.detachAppender(lines)
    }

    @Test
    fun `events of a start are written in their order with their time once the log opens`() {
        val log = EventLog("i", deferred = true)
        log.write(GatewayEvent.STARTED)
        log.write(GatewayEvent.PEERS_CHANGED, "live" to 3)
        assertTrue(lines.list.isEmpty())
        log.open()
        log.write(GatewayEvent.STOPPED)
        assertEquals(listOf("BL-2001", "BL-2401", "BL-2003"), lines.list.map { it.formattedMessage.substringBefore(' ') })
        assertEquals(listOf(true, true, false), lines.list.map { " at=20" in it.formattedMessage })
    }

    /** Guards against callers that fill the log with ids as long as a request head. */
    @Test
    fun `long values are shortened and those of the process are not`() {
        val log = EventLog("i")
        log.write(GatewayEvent.CALLER_LEFT, "request" to "r".repeat(16_000), "route" to "x".repeat(1_024))
        log.write(GatewayEvent.STORE_CALLS_COUNTED, "counts" to EventLog.Whole("c".repeat(2_000)))
        val texts = lines.list.map { it.formattedMessage }
        assertTrue(texts[0].endsWith(" request=${"r".repeat(1_024)}...(16000) route=${"x".repeat(1_024)}"), texts[0])
        assertTrue(texts[1].endsWith(" counts=${"c".repeat(2_000)}"), texts[1])
    }

    @Test
    fun `a failure opens the log`() {
        val log = EventLog("i", deferred = true)
        log.write(GatewayEvent.STARTED)
        log.writeFailure(GatewayEvent.INTERNAL_ERROR, IllegalStateException("cause"))
        assertEquals(listOf("BL-2001", "BL-2901"), lines.list.map { it.formattedMessage.substringBefore(' ') })
    }
}
