package io.buckthornlever.gateway.connection

/**
 * Reason why a call got no complete response.
 *
 * @property mayHaveBeenSent false when no byte of the call can have reached the server
 * @property isTooLarge true when the response was larger than allowed
 */
public class HttpCallFailure(
    public val reason: String,
    public val mayHaveBeenSent: Boolean,
    public val isTooLarge: Boolean = false,
)
