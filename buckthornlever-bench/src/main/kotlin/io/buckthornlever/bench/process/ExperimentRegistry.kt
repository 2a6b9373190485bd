package io.buckthornlever.bench.process

import io.buckthornlever.bench.request.ForwardExperiment
import io.buckthornlever.bench.version.VersionMoveExperiment

/** All experiments in the order in which `list` prints them. */
internal object ExperimentRegistry {
    val all: List<Experiment> = listOf(
        ForwardExperiment(),
        VersionMoveExperiment(),
        DomainExperiment(),
        CapacityExperiment(),
    )

    /** The experiment called [name], or null. */
    fun find(name: String): Experiment? = all.firstOrNull { it.name == name }
}
