package io.buckthornlever.bench.process

/** One measured comparison of the implementation with a naive baseline under a stated bound. */
internal interface Experiment {
    /** Name on the command line, in kebab case. */
    val name: String

    /** The bound in words, with its figure and unit. */
    val bound: String

    /** Runs both sides on the same seeded input. */
    fun run(options: ExperimentOptions): ExperimentReport
}
