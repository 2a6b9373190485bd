package io.buckthornlever.gateway.process

import org.slf4j.event.Level

/** A numbered event of a log catalogue. */
public interface LoggedEvent {
    /** Code that the catalogue lists. */
    public val code: String

    /** Level at which the event is written. */
    public val level: Level

    /** Text that follows the code. */
    public val text: String
}
