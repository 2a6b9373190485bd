package io.buckthornlever.gateway.process

import org.slf4j.LoggerFactory

/** Writes numbered events with their fields as `key=value` pairs; fields without a value are left out. */
public class EventLog(
    private val instance: String,
) {
    private val logger = LoggerFactory.getLogger("buckthornlever")

    /** Writes [event] with [fields]. */
    public fun write(
        event: LoggedEvent,
        vararg fields: Pair<String, Any?>,
    ) {
        if (logger.isEnabledForLevel(event.level)) logger.atLevel(event.level).log(format(event, fields))
    }

    /** Writes [event] with the stack trace of [cause]. */
    public fun failure(
        event: LoggedEvent,
        cause: Throwable,
        vararg fields: Pair<String, Any?>,
    ) {
        logger.atLevel(event.level).setCause(cause).log(format(event, fields))
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
}
