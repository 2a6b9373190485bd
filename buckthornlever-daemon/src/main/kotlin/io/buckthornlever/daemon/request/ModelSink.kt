package io.buckthornlever.daemon.request

import io.buckthornlever.api.request.RequestError

/** Receives the tokens of a model's answer and brings them to the caller. */
internal interface ModelSink {
    /** Takes the next token's chunk. Throws `IOException` when the caller is gone. */
    fun write(chunk: ModelChunk)

    /** Ends a complete answer. */
    fun complete()

    /** Ends an answer that cannot be completed. */
    fun fail(error: RequestError)

    /** Ends an answer that another instance continues; false when the caller cannot resume and the answer goes on here. */
    fun tryHandOver(): Boolean = false
}
