package io.buckthornlever.core.request

/**
 * Result of processing one event by a state machine.
 *
 * @property state the new state
 * @property commands effects for the caller to carry out, in order
 */
public data class Step<out S, out C>(
    val state: S,
    val commands: List<C>,
) {
    public companion object {
        /** A step to [state] with [commands]. */
        public fun <S, C> of(
            state: S,
            vararg commands: C,
        ): Step<S, C> = Step(state, commands.toList())
    }
}
