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

    @Test
    fun `a failure opens the log`() {
        val log = EventLog("i", deferred = true)
        log.write(GatewayEvent.STARTED)
        log.writeFailure(GatewayEvent.INTERNAL_ERROR, IllegalStateException("cause"))
        assertEquals(listOf("BL-2001", "BL-2901"), lines.list.map { it.formattedMessage.substringBefore(' ') })
    }
}
