package io.buckthornlever.bench.process.control

import io.buckthornlever.bench.process.Measurement

/** Placeholder until the control loop exists. */
internal class LoopbackMembership(
    private val measurements: MutableList<Measurement>,
    private val violations: MutableList<String>,
) {
    fun run() = measurements.addAll(emptyList()).also { violations.addAll(emptyList()) }
}
