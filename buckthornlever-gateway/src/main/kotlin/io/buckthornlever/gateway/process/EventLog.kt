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
    private var early: ArrayDeque<Early>? = if (deferred) ArrayDeque() else null

    /** Writes [event] with [fields]. */
    public fun write(
        event: LoggedEvent,
        vararg fields: Pair<String, Any?>,
    ) {
        val kept = early
        if (kept != null) {
            if (kept.size < MAX_EARLY) kept.add(Early(event, format(event, fields) + " at=" + Instant.now()))
        } else if (logger.isEnabledForLevel(event.level)) {
            logger.atLevel(event.level).log(format(event, fields))
        }
    }

    /** Writes [event] with the stack trace of [cause]. */
    public fun writeFailure(
        event: LoggedEvent,
        cause: Throwable,
        vararg fields: Pair<String, Any?>,
    ) {
        open()
        logger.atLevel(event.level).setCause(cause).log(format(event, fields))
    }

    /** Writes the events that were kept, and further ones at once. */
    public fun open() {
        val kept = early ?: return
        early = null
        kept.forEach { logger.atLevel(it.event.level).log(it.text) }
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
        val clean = if (value.any { it.isISOControl() }) value.map { if (it.isISOControl()) '?' else it }.joinToString("") else value
        return if (clean.any { it == ' ' || it == '"' }) "\"" + clean.replace("\"", "'") + "\"" else clean
    }

    private class Early(
        val event: LoggedEvent,
        val text: String,
    )

    private companion object {
        /** Events kept before the log is open; a start has some dozens beside those of requests. */
        const val MAX_EARLY = 1_024
    }
}
