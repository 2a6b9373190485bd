package io.buckthornlever.core.request

/** A deterministic state machine; implementations differ in how they react to faults. */
public interface StateMachine<S, in E, out C> {
    /** Feeds [event] at time [now], in the unit that the machine documents. */
    public fun step(
        state: S,
        event: E,
        now: Long,
    ): Step<S, C>
}
