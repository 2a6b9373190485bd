package io.buckthornlever.daemon.process

import org.slf4j.LoggerFactory

/** Writes numbered events with their fields as `key=value` pairs. */
internal class EventLog(
    private val instance: String,
) {
    private val logger = LoggerFactory.getLogger("buckthornlever")

    fun write(
        event: LogEvent,
        vararg fields: Pair<String, Any?>,
    ) {
        if (!logger.isEnabledForLevel(event.level)) return
        logger.atLevel(event.level).log(format(event, fields))
    }

    fun failure(
        event: LogEvent,
        cause: Throwable,
        vararg fields: Pair<String, Any?>,
    ) {
        logger.atLevel(event.level).setCause(cause).log(format(event, fields))
    }

    private fun format(
        event: LogEvent,
        fields: Array<out Pair<String, Any?>>,
    ): String =
        buildString {
            append(event.code).append(' ').append(event.text).append(" instance=").append(instance)
            fields.forEach { (key, value) -> append(' ').append(key).append('=').append(quoted(value.toString())) }
        }

    // Line breaks from callers must not forge log lines.
    private fun quoted(value: String): String {
        val clean = value.replace(CONTROL, "?")
        return if (clean.any { it == ' ' || it == '"' }) "\"" + clean.replace("\"", "'") + "\"" else clean
    }

    private companion object {
        val CONTROL = Regex("\\p{Cntrl}")
    }
}
