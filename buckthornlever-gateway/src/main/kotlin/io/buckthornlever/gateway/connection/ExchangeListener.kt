package io.buckthornlever.gateway.connection

import io.netty.handler.codec.http.HttpResponse

/** Receives the response to one request. All calls come on the event loop thread; none follows [onCompleted] or [onBroken]. */
public interface ExchangeListener {
    /** The head of a response has arrived; the result decides what happens to the response. */
    public fun onHead(response: HttpResponse): HeadDecision

    /** Part of the body has arrived. */
    public fun onData(bytes: ByteArray)

    /** The response is complete. */
    public fun onCompleted()

    /** No complete response will arrive, for the given [reason]; [isConnectionLost] is true if the server's end closed or reset. */
    public fun onBroken(
        reason: String,
        isConnectionLost: Boolean,
    )
}
