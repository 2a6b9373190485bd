package io.buckthornlever.http.connection

import okhttp3.Interceptor
import okhttp3.Response
import java.net.ProtocolException

/**
 * Network interceptor that treats a final response whose status is not in 200 to 599 as malformed. OkHttp passes on any status of three
 * digits, also 000 and 999, and throws [IllegalStateException] for a negative one.
 */
internal object StatusFilter : Interceptor {
    private val FINAL = 200..599

    override fun intercept(chain: Interceptor.Chain): Response {
        val response =
            try {
                chain.proceed(chain.request())
            } catch (e: IllegalStateException) {
                throw ProtocolException("malformed response: ${e.message}").apply { initCause(e) }
            }
        if (response.code in FINAL) return response
        response.close()
        throw ProtocolException("malformed response: status ${response.code}")
    }
}
