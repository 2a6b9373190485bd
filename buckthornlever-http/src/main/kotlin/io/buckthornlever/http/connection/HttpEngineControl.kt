package io.buckthornlever.http.connection

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.map
import io.buckthornlever.api.connection.CacheEvent
import io.buckthornlever.api.connection.EngineControl
import io.buckthornlever.api.connection.EngineOrder
import io.buckthornlever.api.connection.KvHandle
import io.buckthornlever.api.connection.UpstreamError
import io.buckthornlever.api.process.UpstreamSpec
import io.buckthornlever.api.request.RequestId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import okhttp3.Response
import java.io.IOException
import java.time.Duration

/** [EngineControl] over HTTP. */
public class HttpEngineControl(
    timeout: Duration = CALL_TIMEOUT,
) : EngineControl {
    // A silent retry by OkHttp would give an order twice to an engine that ignores request ids. On a reused connection the copy of
    // an earlier refusal could be taken for the answer to an order that is carried out.
    private val client =
        HttpClients
            .builder()
            .callTimeout(timeout)
            .retryOnConnectionFailure(false)
            .addNetworkInterceptor(ImmediateRetryFilter)
            .connectionPool(SingleUseConnections.pool())
            .build()

    override fun order(
        upstream: UpstreamSpec,
        order: EngineOrder,
    ): Result<Unit, UpstreamError> = post(upstream, "/v1/orders", JSON.encodeToString(EngineOrder.serializer(), order)) { }

    override fun cancel(
        upstream: UpstreamSpec,
        request: RequestId,
    ): Result<Unit, UpstreamError> =
        post(upstream, "/v1/cancel", requestBody(request)) { }.fold(
            success = { Ok(it) },
            // The engine answers 404 for a request that has already ended.
            failure = { if (it == UpstreamError.Refused(404, null)) Ok(Unit) else Err(it) },
        )

    override fun exportKv(
        upstream: UpstreamSpec,
        request: RequestId,
    ): Result<KvHandle, UpstreamError> =
        post(upstream, "/v1/kv/export", requestBody(request)) { JSON.decodeFromString(KvHandle.serializer(), it) }

    override fun importKv(
        upstream: UpstreamSpec,
        handle: KvHandle,
    ): Result<Unit, UpstreamError> = post(upstream, "/v1/kv/import", JSON.encodeToString(KvHandle.serializer(), handle)) { }

    override fun cacheEvents(
        upstream: UpstreamSpec,
        since: Long,
    ): Result<List<CacheEvent>, UpstreamError> =
        call(Request.Builder().url("${upstream.url}/v1/cache-events?since=$since").build()) {
            JSON.decodeFromString(WireEvents.serializer(), it)
        }.map { response -> response.events.map { CacheEvent(it.sequence, it.kind, it.blocks) } }

    private fun requestBody(request: RequestId): String = JSON.encodeToString(WireRequest.serializer(), WireRequest(request.value))

    private fun <T> post(
        upstream: UpstreamSpec,
        path: String,
        body: String,
        read: (body: String) -> T,
    ): Result<T, UpstreamError> = call(Request.Builder().url(upstream.url + path).post(body.toRequestBody(JSON_TYPE)).build(), read)

    private fun <T> call(
        request: Request,
        read: (body: String) -> T,
    ): Result<T, UpstreamError> =
        try {
            client.newCall(request).execute().use { response ->
                // Also where the body says nothing: a response that is cut off confirms no order.
                val body = response.body.boundedString()
                if (response.isSuccessful) Ok(read(body)) else Err(UpstreamError.Refused(response.code, retryAfter(response)))
            }
        } catch (e: IOException) {
            Err(UpstreamError.Broken(e.message ?: e.javaClass.simpleName))
        } catch (e: SerializationException) {
            Err(UpstreamError.Malformed(e.message.orEmpty()))
        }

    private fun retryAfter(response: Response): Duration? = response.header("Retry-After")?.toLongOrNull()?.let(Duration::ofSeconds)

    @Serializable
    private class WireRequest(
        @SerialName("request_id")
        val requestId: String,
    )

    @Serializable
    private class WireEvent(
        @SerialName("seq")
        val sequence: Long,
        val kind: String,
        val blocks: List<String>,
    )

    @Serializable
    private class WireEvents(
        val events: List<WireEvent>,
    )

    private companion object {
        /** Long, because the engine responds to an order to load a model only when the model is loaded. */
        val CALL_TIMEOUT: Duration = Duration.ofSeconds(30)
        val JSON_TYPE = "application/json".toMediaType()
        val JSON = Json { ignoreUnknownKeys = true }
    }
}
