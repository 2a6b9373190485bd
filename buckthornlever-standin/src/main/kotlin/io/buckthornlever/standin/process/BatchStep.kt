package io.buckthornlever.standin.process

import io.buckthornlever.standin.request.EngineJob

/** Work and duration of one step of the batch. */
internal class BatchStep(
    val prefill: Map<EngineJob, Double>,
    val decoding: List<EngineJob>,
    val nanos: Long,
)
