package io.buckthornlever.gateway.connection

import io.netty.handler.codec.http.HttpResponse

/** Receives the answer to one request. All calls come on the traffic thread; after [ended] or [broken] there are none. */
public interface ExchangeListener {
    /** The head of an answer has arrived. */
    public fun head(response: HttpResponse): HeadVerdict

    /** Part of the body has arrived. */
    public fun data(bytes: ByteArray)

    /** The answer is complete. */
    public fun ended()

    /** No complete answer will come. */
    public fun broken(reason: String)
}
