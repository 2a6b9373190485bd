package io.buckthornlever.core.request

/**
 * Result of feeding one event to a state machine.
 *
 * @property commands effects that the caller carries out, in order
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
