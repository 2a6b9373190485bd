package io.buckthornlever.gateway.connection

import io.buckthornlever.core.serving.ConnectionBudget

/**
 * Limits of one listener.
 *
 * @property memory memory that the connections of all listeners share
 * @property connections connections of this listener
 */
public class ListenerLimits(
    public val memory: CallerMemory,
    public val connections: ConnectionBudget,
)
