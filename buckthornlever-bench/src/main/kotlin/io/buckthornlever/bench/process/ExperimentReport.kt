package io.buckthornlever.bench.process

import kotlinx.serialization.Serializable

/**
 * Result of one experiment.
 *
 * @property violations every way in which the run missed the bound; empty when it passed
 */
@Serializable
internal data class ExperimentReport(
    val name: String,
    val bound: String,
    val seed: Long,
    val measurements: List<Measurement>,
    val violations: List<String>,
) {
    val passed: Boolean get() = violations.isEmpty()
}
