package io.buckthornlever.http.connection

import okhttp3.Interceptor
import okhttp3.Response

/**
 * Network interceptor that keeps OkHttp from sending a request again by itself. OkHttp does so after a 503 with `Retry-After: 0`, on the
 * same connection and also if its retries are off.
 */
internal object ImmediateRetryFilter : Interceptor {
    override fun intercept(chain: Interceptor.Chain): Response {
        val response = chain.proceed(chain.request())
        val causesRetry = response.code == UNAVAILABLE && response.header(RETRY_AFTER)?.toIntOrNull() == 0
        return if (causesRetry) response.newBuilder().removeHeader(RETRY_AFTER).build() else response
    }

    private const val UNAVAILABLE = 503
    private const val RETRY_AFTER = "Retry-After"
}
