package io.buckthornlever.core.request

/**
 * A deterministic state machine that returns its effects as commands. Implementations for the same events differ in how they
 * react to faults.
 */
public interface StateMachine<S, in E, out C> {
    /** Processes [event] at time [now], in the unit that the implementation documents. */
    public fun step(
        state: S,
        event: E,
        now: Long,
    ): Step<S, C>
}
