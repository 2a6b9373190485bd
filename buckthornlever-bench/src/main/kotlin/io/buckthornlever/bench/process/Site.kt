package io.buckthornlever.bench.process

/** The two sites whose size and mix of traffic experiments reproduce. */
internal enum class Site(
    val siteName: String,
) {
    PECAN_ROW("pecan-row"),
    KASAVU_LINE("kasavu-line"),
    ;

    companion object {
        /** The site called [name], or null. */
        fun named(name: String): Site? = entries.firstOrNull { it.siteName == name }
    }
}
