package io.buckthornlever.gateway.connection

import io.netty.handler.codec.http.HttpResponse

/** Receives the answer to one request. All calls come on the traffic thread; after [onCompleted] or [onBroken] there are none. */
public interface ExchangeListener {
    /** The head of an answer has arrived. */
    public fun onHead(response: HttpResponse): HeadDecision

    /** Part of the body has arrived. */
    public fun onData(bytes: ByteArray)

    /** The answer is complete. */
    public fun onCompleted()

    /** No complete answer will come. */
    public fun onBroken(reason: String)
}
