package io.buckthornlever.gateway.request

import io.buckthornlever.core.serving.DemandMeter
import io.buckthornlever.core.serving.UsageLedger

/** What is counted of the requests that are served: the [usage] of each client account and the [demand] for each service. */
internal class TrafficCounters(
    val usage: UsageLedger,
    val demand: DemandMeter,
)
