package io.buckthornlever.daemon.request

import io.buckthornlever.api.request.RequestError

/** Receives the chunks of a completion and sends them to the caller. */
internal interface ModelSink {
    /** Sends the next chunk. Throws `IOException` when the caller has disconnected. */
    fun write(chunk: ModelChunk)

    /** Ends a response that is complete. */
    fun complete()

    /** Ends a response that cannot be completed. */
    fun fail(error: RequestError)

    /** Ends a response that another instance continues; false when the caller cannot resume and this instance must continue it. */
    fun tryHandOver(): Boolean = false
}
