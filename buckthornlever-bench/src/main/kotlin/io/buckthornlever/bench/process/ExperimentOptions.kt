package io.buckthornlever.bench.process

import java.time.Duration

/** Options shared by all experiments. */
internal data class ExperimentOptions(
    val seed: Long,
    val duration: Duration,
    val site: Site,
)
