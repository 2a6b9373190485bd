package io.buckthornlever.http.connection

import okhttp3.ResponseBody
import java.io.IOException

/** Largest body of a response that is read as a whole, in bytes; a listing of all instances of a large site has a tenth of it. */
private const val MAX_BODY_BYTES = 8L * 1_024 * 1_024

/** Returns the whole body as text; throws [IOException] once more than [maxBytes] have arrived, so that no server can fill the memory. */
public fun ResponseBody.boundedString(maxBytes: Long = MAX_BODY_BYTES): String {
    requireAtMost(maxBytes)
    return string()
}

/** Returns the whole body; throws [IOException] once more than [maxBytes] have arrived. */
public fun ResponseBody.boundedBytes(maxBytes: Long): ByteArray {
    requireAtMost(maxBytes)
    return bytes()
}

private fun ResponseBody.requireAtMost(maxBytes: Long) {
    if (source().request(maxBytes + 1)) throw IOException("response body exceeds $maxBytes bytes")
}
