package io.buckthornlever.bench.process

import io.buckthornlever.bench.process.control.ConfigurationExperiment
import io.buckthornlever.bench.process.control.ControlCostExperiment
import io.buckthornlever.bench.process.control.LeaseExperiment
import io.buckthornlever.bench.process.control.MembershipExperiment
import io.buckthornlever.bench.request.AtMostOnceExperiment
import io.buckthornlever.bench.request.ColdStartExperiment
import io.buckthornlever.bench.request.CrashRequestExperiment
import io.buckthornlever.bench.request.ForwardExperiment
import io.buckthornlever.bench.request.LocalityExperiment
import io.buckthornlever.bench.request.OverloadExperiment
import io.buckthornlever.bench.request.RoutingDecisionExperiment
import io.buckthornlever.bench.request.StreamExperiment
import io.buckthornlever.bench.request.UpstreamChoiceExperiment
import io.buckthornlever.bench.version.VersionMoveExperiment

/** All experiments in the order in which `list` prints them. */
internal object ExperimentRegistry {
    val all: List<Experiment> =
        listOf(
            ForwardExperiment(),
            CombinedFaultsExperiment(),
            AtMostOnceExperiment,
            CrashRequestExperiment,
            StreamExperiment.RECLAIM,
            StreamExperiment.SILENT_CONNECTION,
            ShutdownExperiment,
            MembershipExperiment(),
            ConfigurationExperiment(),
            LeaseExperiment(),
            ControlCostExperiment(),
            LocalityExperiment(),
            OverloadExperiment(),
            VersionMoveExperiment(),
            DomainExperiment(),
            CapacityExperiment(),
            ColdStartExperiment(),
            RoutingDecisionExperiment(),
            UpstreamChoiceExperiment(),
        )

    /** The experiment called [name], or null. */
    fun find(name: String): Experiment? = all.firstOrNull { it.name == name }
}
