package io.buckthornlever.core.serving

/** Measures of a site in [OverloadSimulation]; the figures are those of the sites V and S in `docs/design/overload-work.md`. */
internal data class OverloadSite(
    val instances: Int,
    val engines: Int,
    val slots: Int,
    val tokensPerMilli: Double,
    val chunk: Int,
    val stepMillis: Double,
    val longPerSecond: Double,
    val shortPerSecond: Double,
    val longEvents: Int,
    val shortEvents: Int,
    val shortTargetMillis: Long,
    val shortPriority: Int,
) {
    companion object {
        val V = OverloadSite(70, 63, 64, 56.9, 4_096, 3.09, 85.7, 321.0, 64, 4, 2_010, 2)
        val S = OverloadSite(132, 78, 24, 55.0, 2_048, 2.89, 77.9, 307.0, 48, 3, 1_210, 1)
    }
}
