package io.buckthornlever.cli.process

/**
 * One event in the log of an instance.
 *
 * @property time its time, as logged
 * @property code its code, such as `BL-2302`
 * @property text what the code stands for
 * @property fields its fields
 */
internal class LogLine private constructor(
    val time: String,
    val code: String,
    val text: String,
    val fields: Map<String, String>,
) {
    val instance: String get() = this["instance"].orEmpty()

    /** The field [name]; null if the event has none. */
    operator fun get(name: String): String? = fields[name]

    companion object {
        private val EVENT = Regex("""^(\S+) +[A-Z]+ .*?\b(BL-\d{4}) (.*?) (instance=.*)$""")
        private val FIELD = Regex("""([A-Za-z]\w*)=("[^"]*"|\S*)""")

        /** Parses [line]; null if it is no event of an instance, such as a line of a stack trace. */
        fun parse(line: String): LogLine? {
            val groups = EVENT.find(line)?.groupValues ?: return null
            val fields = FIELD.findAll(groups.last()).associate { it.groupValues[1] to it.groupValues[2].trim('"') }
            return LogLine(groups[1], groups[2], groups[3], fields)
        }
    }
}
