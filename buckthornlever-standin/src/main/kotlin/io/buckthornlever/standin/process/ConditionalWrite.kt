package io.buckthornlever.standin.process

/** Outcome of a conditional write with the version that is stored afterwards. */
internal data class ConditionalWrite(
    val applied: Boolean,
    val current: Long?,
)
