package io.buckthornlever.cli.process

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/**
 * What the logs of instances tell about one request.
 *
 * @property events its log lines, earliest first
 * @property reasons why it was delayed, refused or failed, and what the decision relied on
 */
@Serializable
internal data class RequestExplanation(
    val request: String,
    val events: List<String>,
    val reasons: List<String>,
) {
    fun toJson(): String = Json.encodeToString(serializer(), this)

    fun toText(): String = (events + reasons).joinToString("\n")

    companion object {
        private const val REFUSED = "BL-2301"
        private const val FINISHED = "BL-2302"
        private const val ATTEMPT_ENDED = "BL-2303"
        private const val NO_UPSTREAM = "BL-2307"
        private const val OVERLOAD_CHANGED = "BL-2308"
        private const val PERCENT = 100

        /** Lines of one request that are kept; its retry budget allows far fewer attempts. */
        private const val MAX_EVENTS = 1_000

        /** Finds [request] in [lines], which may come from several instances; null if none of them names it. */
        fun of(
            request: String,
            lines: Sequence<String>,
        ): RequestExplanation? {
            val own = ArrayList<LogLine>()
            val levels = ArrayList<LogLine>()
            for (text in lines) {
                if (OVERLOAD_CHANGED !in text && request !in text) continue
                val line = LogLine.parse(text) ?: continue
                if (line.code == OVERLOAD_CHANGED) levels.add(line)
                if (line["request"] == request && own.size < MAX_EVENTS) own.add(line)
            }
            if (own.isEmpty()) return null
            own.sortBy { it.time }
            return RequestExplanation(request, own.map(::describe), own.flatMap { reasons(it, levels) })
        }

        private fun describe(line: LogLine): String {
            val fields = line.fields.filterKeys { it != "instance" && it != "request" }
            return "${line.time} ${line.instance} ${line.text}: " + fields.entries.joinToString(" ") { "${it.key}=${it.value}" }
        }

        private fun reasons(
            line: LogLine,
            levels: List<LogLine>,
        ): List<String> =
            when (line.code) {
                REFUSED -> listOf("refused before it was placed: ${line["reason"]} (status ${line["status"]})")
                FINISHED -> listOf(outcome(line)) + overload(line, levels)
                ATTEMPT_ENDED -> listOf("an attempt at ${line["upstream"]} ended: ${line["end"]}, then ${line["next"]}")
                NO_UPSTREAM -> listOf("no upstream of ${line["service"]} could take it in time: ${line["obstacles"]}")
                else -> emptyList()
            }

        private fun outcome(line: LogLine): String {
            val reason = line["reason"]?.let { ": $it" }.orEmpty()
            return "${line["outcome"]} after ${line["millis"]} ms and ${line["sends"]} attempts$reason; " +
                "proof of execution: ${line["proof"]}"
        }

        /** The level that delayed or refused the request of [line], and the age of the figures behind it. */
        private fun overload(
            line: LogLine,
            levels: List<LogLine>,
        ): List<String> {
            val roomShare = line["roomShare"] ?: return emptyList()
            val level =
                levels.filter { it.instance == line.instance && it.time <= line.time }.maxByOrNull { it.time }?.let {
                    "; ${it["service"]} was ${if (it["engaged"] == "true") "overloaded" else "not overloaded"} from ${it.time} on"
                }
            val held = line["heldMillis"]?.let { "held back for $it ms, " }.orEmpty()
            return listOf(
                "overload: priority ${line["priority"]}, ${held}room for ${percent(roomShare)} of such requests at once and for " +
                    "${percent(line["roomShareAfterWait"])} after a wait, mean wait of ${line["waitMillis"]} ms by figures " +
                    "that were ${line["loadAgeMillis"]} ms old" + level.orEmpty(),
            )
        }

        private fun percent(share: String?): String = share?.toDoubleOrNull()?.let { "${Math.round(it * PERCENT)}%" } ?: "an unknown share"
    }
}
