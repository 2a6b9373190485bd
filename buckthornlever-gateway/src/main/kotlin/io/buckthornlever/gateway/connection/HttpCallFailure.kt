package io.buckthornlever.gateway.connection

/**
 * Why a call got no complete answer.
 *
 * @property mayHaveBeenSent false when no byte of the call can have reached the server
 */
public class HttpCallFailure(
    public val reason: String,
    public val mayHaveBeenSent: Boolean,
)
