package io.buckthornlever.gateway.process

import org.slf4j.event.Level

/** A numbered event of an event catalogue. */
public interface LoggedEvent {
    /** Code of the event in the catalogue. */
    public val code: String

    /** Level at which the event is written. */
    public val level: Level

    /** Text logged after the code. */
    public val text: String
}
