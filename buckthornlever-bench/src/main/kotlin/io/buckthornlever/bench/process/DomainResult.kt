package io.buckthornlever.bench.process

import java.time.Duration

/** What callers and upstreams saw of one simulated loss and return of a failure domain. */
internal data class DomainResult(
    val loss: DomainLoss,
    val lookups: Int,
    val lookupsLost: Int,
    val longLost: Int,
    val p95Before: Duration,
    val p95During: Duration,
    val p95Return: Duration,
    val overLimit: Int,
    val newWorkAfterStop: Int,
)
