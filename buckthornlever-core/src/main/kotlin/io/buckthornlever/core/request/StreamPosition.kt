package io.buckthornlever.core.request

import io.buckthornlever.api.request.RequestId

/** Position in a stream as carried by `Last-Event-ID` and by the `id` field of each event. */
public data class StreamPosition(
    val request: RequestId,
    val tokenIndex: Int,
) {
    override fun toString(): String = "${request.value}:$tokenIndex"

    public companion object {
        /** Parses `<requestId>:<tokenIndex>`; returns null if [text] is malformed. */
        public fun parse(text: String): StreamPosition? {
            val separator = text.lastIndexOf(':')
            val index = text.substring(separator + 1).toIntOrNull() ?: return null
            return if (separator <= 0 || index < 0) null else StreamPosition(RequestId(text.substring(0, separator)), index)
        }
    }
}
