package io.buckthornlever.bench.process

import io.buckthornlever.bench.process.control.ConfigurationExperiment
import io.buckthornlever.bench.process.control.MembershipExperiment
import io.buckthornlever.bench.request.ForwardExperiment

/** All experiments in the order in which `list` prints them. */
internal object ExperimentRegistry {
    val all: List<Experiment> = listOf(
        ForwardExperiment(),
        MembershipExperiment(),
        ConfigurationExperiment(),
    )

    /** The experiment called [name], or null. */
    fun find(name: String): Experiment? = all.firstOrNull { it.name == name }
}
