package io.buckthornlever.http.process

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.buckthornlever.api.process.PlatformError
import io.buckthornlever.http.connection.HttpClients
import io.buckthornlever.http.connection.ImmediateRetryFilter
import io.buckthornlever.http.connection.SingleUseConnections
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.Request
import okhttp3.RequestBody
import okhttp3.RequestBody.Companion.toRequestBody
import okhttp3.Response
import java.io.IOException
import java.time.Duration

/** HTTP client of the platform's services; maps failures to [PlatformError]. */
internal class PlatformHttpClient(
    timeout: Duration,
) {
    // A silent retry by OkHttp could start an instance twice when the service ignores request ids. On a reused connection the copy of
    // an earlier refusal could be taken for the answer to a start that takes effect.
    private val client =
        HttpClients
            .builder()
            .callTimeout(timeout)
            .retryOnConnectionFailure(false)
            .addNetworkInterceptor(ImmediateRetryFilter)
            .connectionPool(SingleUseConnections.pool())
            .build()

    /** Executes [request] and reads a successful response with [read]. */
    fun <T> call(
        request: Request,
        read: (Response) -> T,
    ): Result<T, PlatformError> =
        try {
            client.newCall(request).execute().use { response ->
                if (response.isSuccessful) Ok(read(response)) else Err(toError(response))
            }
        } catch (e: IOException) {
            Err(PlatformError.Unavailable(e.message ?: e.javaClass.simpleName))
        } catch (e: SerializationException) {
            Err(PlatformError.Unavailable("cannot decode response: ${e.message}"))
        }

    /** Encodes [value] as a JSON request body. */
    fun <T> jsonBody(
        serializer: KSerializer<T>,
        value: T,
    ): RequestBody = JSON.encodeToString(serializer, value).toRequestBody(JSON_TYPE)

    private fun toError(response: Response): PlatformError =
        when (response.code) {
            429 -> PlatformError.RateLimited(Duration.ofSeconds(response.header("Retry-After")?.toLongOrNull() ?: 1))
            in 400..499 -> PlatformError.Refused("status ${response.code}")
            else -> PlatformError.Unavailable("status ${response.code}")
        }

    companion object {
        val JSON: Json =
            Json {
                ignoreUnknownKeys = true
                encodeDefaults = true
            }
        private val JSON_TYPE = "application/json".toMediaType()
    }
}
