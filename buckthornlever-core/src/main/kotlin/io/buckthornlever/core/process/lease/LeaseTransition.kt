package io.buckthornlever.core.process.lease

/** Result of one step of [LeaseMachine]. */
public data class LeaseTransition(
    val state: LeaseState,
    val commands: List<LeaseCommand> = emptyList(),
)
