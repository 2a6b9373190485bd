package io.buckthornlever.http.connection

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.buckthornlever.api.connection.Header
import io.buckthornlever.api.connection.LoadReport
import io.buckthornlever.api.connection.UpstreamClient
import io.buckthornlever.api.connection.UpstreamError
import io.buckthornlever.api.connection.UpstreamRequest
import io.buckthornlever.api.connection.UpstreamResponse
import io.buckthornlever.api.process.UpstreamSpec
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import okhttp3.ConnectionPool
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import okhttp3.Response
import java.io.IOException
import java.net.SocketTimeoutException
import java.time.Duration
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit

/**
 * [UpstreamClient] over HTTP/1.1 with OkHttp.
 *
 * OkHttp's own retries are off: it silently repeats a failed request on another connection,
 * which would execute a non-repeatable request twice.
 *
 * HTTP/1.1 matches a response to a request only by its position on the connection, and OkHttp uses an idle connection again even if
 * bytes have arrived on it. A call therefore gets a connection of its own unless its request permits a reused one and every response
 * of the upstream so far carried the id of its request, by which a copy of an earlier response is recognised.
 */
public class HttpUpstreamClient : UpstreamClient {
    private val baseClient: OkHttpClient =
        HttpClients
            .builder()
            .retryOnConnectionFailure(false)
            .followRedirects(false)
            .connectTimeout(CONNECT_TIMEOUT)
            .connectionPool(SingleUseConnections.pool())
            .eventListener(SendTracker.Listener)
            .addNetworkInterceptor(ImmediateRetryFilter)
            .build()
    private val reusingClient: OkHttpClient =
        baseClient
            .newBuilder()
            .connectionPool(ConnectionPool(MAX_IDLE_CONNECTIONS, IDLE_CONNECTION_SECONDS, TimeUnit.SECONDS))
            .build()

    /** For each upstream's URL, whether all responses from there carried the ids of their requests. */
    private val identifiesResponses = ConcurrentHashMap<String, Boolean>()
    private val clients = ConcurrentHashMap<ClientKey, OkHttpClient>()
    private val loadClient = baseClient.newBuilder().callTimeout(LOAD_TIMEOUT).build()

    override fun call(
        upstream: UpstreamSpec,
        request: UpstreamRequest,
    ): Result<UpstreamResponse, UpstreamError> {
        val tracker = SendTracker()
        val httpRequest =
            try {
                toHttpRequest(upstream, request, tracker)
            } catch (e: IllegalArgumentException) {
                return Err(UpstreamError.NotSent("invalid HTTP request: ${e.message}"))
            }
        val reusesConnection = request.mayReuseConnection && identifiesResponses[upstream.url] == true
        val call = clientFor(request, reusesConnection).newCall(httpRequest)
        call.timeout().timeout(request.timeoutMillis, TimeUnit.MILLISECONDS)
        return try {
            val response = call.execute()
            val isIdentified = response.header(REQUEST_ID_HEADER) == request.id.value
            identifiesResponses.merge(upstream.url, isIdentified, Boolean::and)
            val received = toResponse(response, call::cancel)
            if (isIdentified || !reusesConnection) return Ok(received)
            received.close()
            Err(UpstreamError.Malformed("response without the id of its request on a reused connection"))
        } catch (e: IOException) {
            Err(toError(e, tracker, request))
        }
    }

    override fun fetchLoad(upstream: UpstreamSpec): Result<LoadReport, UpstreamError> {
        val request = Request.Builder().url("${upstream.url}/v1/load").build()
        return try {
            loadClient.newCall(request).execute().use { response ->
                if (!response.isSuccessful) return Err(UpstreamError.Refused(response.code, null))
                Ok(JSON.decodeFromString(LoadReport.serializer(), response.body.boundedString()))
            }
        } catch (e: IOException) {
            Err(UpstreamError.Broken(describe(e)))
        } catch (e: SerializationException) {
            Err(UpstreamError.Malformed("invalid load report: ${e.message}"))
        }
    }

    private fun clientFor(
        request: UpstreamRequest,
        reusesConnection: Boolean,
    ): OkHttpClient =
        clients.computeIfAbsent(ClientKey(request.progressTimeoutMillis, reusesConnection)) {
            val client = if (it.reusesConnections) reusingClient else baseClient
            client.newBuilder().readTimeout(Duration.ofMillis(it.progressTimeoutMillis)).build()
        }

    private fun toHttpRequest(
        upstream: UpstreamSpec,
        request: UpstreamRequest,
        tracker: SendTracker,
    ): Request {
        val builder = Request.Builder().url(upstream.url + request.path).tag(SendTracker::class.java, tracker)
        request.headers.forEach { builder.addHeader(it.name, it.value) }
        builder.header(REQUEST_ID_HEADER, request.id.value)
        val bodyAllowed = request.method != "GET" && request.method != "HEAD"
        builder.method(request.method, if (bodyAllowed) request.body.toRequestBody(null) else null)
        return builder.build()
    }

    private fun toResponse(
        response: Response,
        cancel: () -> Unit,
    ): UpstreamResponse =
        UpstreamResponse(
            status = response.code,
            headers = response.headers.map { Header(it.first, it.second) },
            body = response.body.byteStream(),
            onClose = {
                cancel()
                response.close()
            },
        )

    private fun toError(
        e: IOException,
        tracker: SendTracker,
        request: UpstreamRequest,
    ): UpstreamError =
        when {
            !tracker.mayHaveBeenSent -> UpstreamError.NotSent(describe(e))
            e is SocketTimeoutException -> UpstreamError.Silent(Duration.ofMillis(request.progressTimeoutMillis))
            else -> UpstreamError.Broken(describe(e))
        }

    private fun describe(e: IOException): String = e.message ?: e.javaClass.simpleName

    private data class ClientKey(
        val progressTimeoutMillis: Long,
        val reusesConnections: Boolean,
    )

    private companion object {
        val CONNECT_TIMEOUT: Duration = Duration.ofMillis(500)
        val LOAD_TIMEOUT: Duration = Duration.ofMillis(1_000)
        const val REQUEST_ID_HEADER = "X-Request-Id"
        const val MAX_IDLE_CONNECTIONS = 256

        // Idle connections are closed early, because a dead connection looks the same as an idle one.
        const val IDLE_CONNECTION_SECONDS = 15L
        val JSON = Json { ignoreUnknownKeys = true }
    }
}
