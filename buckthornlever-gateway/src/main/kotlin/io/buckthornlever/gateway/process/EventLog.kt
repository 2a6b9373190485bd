package io.buckthornlever.gateway.process

import org.slf4j.Logger
import org.slf4j.LoggerFactory
import java.time.Instant

/**
 * Logs numbered events with their fields as `key=value` pairs. Fields whose value is null are omitted, and long values are shortened, since
 * callers choose the length of some.
 *
 * @param deferred true to buffer events until [open], since initializing the logging backend takes a large part of the startup time,
 * during which callers wait
 */
public class EventLog(
    private val instance: String,
    deferred: Boolean = false,
) {
    private val logger: Logger by lazy { LoggerFactory.getLogger("buckthornlever") }
    private var buffered: ArrayDeque<BufferedEvent>? = if (deferred) ArrayDeque() else null

    /** Logs [event] with [fields], or buffers it while the log is deferred. */
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

    /** Logs [event] with the stack trace of [cause]; opens a deferred log first. */
    public fun writeFailure(
        event: LoggedEvent,
        cause: Throwable,
        vararg fields: Pair<String, Any?>,
    ) {
        open()
        logger.atLevel(event.level).setCause(cause).log(format(event, fields))
    }

    /** Writes the buffered events and stops buffering. */
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
            for ((key, value) in fields) if (value != null) append(' ').append(key).append('=').append(quoted(textOf(value)))
        }

    private fun textOf(value: Any): String {
        val text = value.toString()
        if (value is Whole || text.length <= MAX_VALUE_CHARACTERS) return text
        return "${text.take(MAX_VALUE_CHARACTERS)}...(${text.length})"
    }

    // Replaces control characters, so that line breaks in values from callers cannot forge log lines.
    private fun quoted(value: String): String {
        val sanitized = if (value.any { it.isISOControl() }) value.map { if (it.isISOControl()) '?' else it }.joinToString("") else value
        return if (sanitized.any { it == ' ' || it == '"' }) "\"" + sanitized.replace("\"", "'") + "\"" else sanitized
    }

    /** Value of a field that is never shortened, since no caller chooses it. */
    public class Whole(
        private val text: String,
    ) {
        override fun toString(): String = text
    }

    private class BufferedEvent(
        val event: LoggedEvent,
        val text: String,
    )

    private companion object {
        /** Limit of buffered events, beyond which they are dropped; a start logs a few dozen besides those of requests. */
        const val MAX_BUFFERED = 1_024

        /** Holds ids of usual lengths, and the hashes of sixty prompt parts. */
        const val MAX_VALUE_CHARACTERS = 1_024
    }
}
