package io.buckthornlever.gateway.process

import org.slf4j.Logger
import org.slf4j.LoggerFactory
import java.time.Instant

/**
 * Writes numbered events with their fields as `key=value` pairs; fields without a value are left out.
 *
 * @param deferred true to keep events until [open]: setting the log up takes a good part of a start, in which callers wait
 */
public class EventLog(
    private val instance: String,
    deferred: Boolean = false,
) {
    private val logger: Logger by lazy { LoggerFactory.getLogger("buckthornlever") }
    private var buffered: ArrayDeque<BufferedEvent>? = if (deferred) ArrayDeque() else null

    /** Writes [event] with [fields]. */
    public fun write(
        event: LoggedEvent,
        vararg fields: Pair<String, Any?>,
    ) {
        val events = buffered
        if (events != null) {
            if (events.size < MAX_BUFFERED) events.add(BufferedEvent(event, format(event, fields) + " at=" + Instant.now()))
        } else if (logger.isEnabledForLevel(event.level)) {
            logger.atLevel(event.level).log(format(event, fields))
        }
    }

    /** Writes [event] with the stack trace of [cause]. */
    public fun failure(
        event: LoggedEvent,
        cause: Throwable,
        vararg fields: Pair<String, Any?>,
    ) {
        open()
        logger.atLevel(event.level).setCause(cause).log(format(event, fields))
    }

    /** Writes the events that were kept, and further ones at once. */
    public fun open() {
        val events = buffered ?: return
        buffered = null
        events.forEach { logger.atLevel(it.event.level).log(it.text) }
    }

    private fun format(
        event: LoggedEvent,
        fields: Array<out Pair<String, Any?>>,
    ): String =
        buildString {
            append(event.code).append(' ').append(event.text).append(" instance=").append(instance)
            for ((key, value) in fields) if (value != null) append(' ').append(key).append('=').append(quoted(value.toString()))
        }

    // Line breaks from callers must not forge log lines.
    private fun quoted(value: String): String {
        val sanitized = if (value.any { it.isISOControl() }) value.map { if (it.isISOControl()) '?' else it }.joinToString("") else value
        return if (sanitized.any { it == ' ' || it == '"' }) "\"" + sanitized.replace("\"", "'") + "\"" else sanitized
    }

    private class BufferedEvent(
        val event: LoggedEvent,
        val text: String,
    )

    private companion object {
        /** Events kept before the log is open; a start has some dozens beside those of requests. */
        const val MAX_BUFFERED = 1_024
    }
}
