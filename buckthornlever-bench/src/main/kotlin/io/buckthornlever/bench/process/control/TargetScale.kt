package io.buckthornlever.bench.process.control

/** Figures of section 1.6 of the design page. */
internal object TargetScale {
    const val MEMBERS = 1_200
    const val DOMAINS = 18
    const val UPSTREAMS = 10_000
    const val CHANGES_PER_DAY = 26_000
    const val RESTARTS_PER_DAY = 1_200
    const val SECONDS_PER_DAY = 86_400.0
    const val BYTES_PER_SECOND = 17_000.0
    const val CORE_PERCENT = 4.4
    const val HEAP_MEGABYTES = 64.0

    /** Member counts at which costs are measured. */
    val SIZES = listOf(9, 50, 200, 600, 1_200)
}
