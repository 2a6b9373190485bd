package io.buckthornlever.http.process

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.map
import io.buckthornlever.api.process.ObjectKey
import io.buckthornlever.api.process.ObjectListing
import io.buckthornlever.api.process.ObjectStore
import io.buckthornlever.api.process.ObjectVersion
import io.buckthornlever.api.process.StoreError
import io.buckthornlever.api.process.StoredObject
import io.buckthornlever.http.connection.HttpClients
import io.buckthornlever.http.connection.ImmediateRetryFilter
import io.buckthornlever.http.connection.SendTracker
import io.buckthornlever.http.connection.SingleUseConnections
import io.buckthornlever.http.connection.boundedString
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import okhttp3.HttpUrl
import okhttp3.HttpUrl.Companion.toHttpUrl
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody
import okhttp3.RequestBody.Companion.toRequestBody
import okhttp3.Response
import java.io.IOException
import java.time.Duration

/**
 * [ObjectStore] over HTTP. [baseUrl] has no trailing slash.
 *
 * Each operation has a connection of its own. The protocol has no ids, so on a reused connection the copy of an earlier answer could
 * confirm a create that had no effect, refuse one that had, or return the record of another key.
 */
public class HttpObjectStore(
    private val baseUrl: String,
    callTimeout: Duration = DEFAULT_CALL_TIMEOUT,
) : ObjectStore {
    private val client: OkHttpClient =
        HttpClients
            .builder()
            .retryOnConnectionFailure(false)
            .connectTimeout(CONNECT_TIMEOUT)
            .readTimeout(callTimeout)
            .callTimeout(callTimeout)
            .connectionPool(SingleUseConnections.pool())
            .eventListener(SendTracker.Listener)
            .addNetworkInterceptor(ImmediateRetryFilter)
            .build()

    override fun get(key: ObjectKey): Result<StoredObject, StoreError> =
        call(client, objectRequest(key).get(), isWrite = false) { response, body ->
            StoredObject(key, versionOf(response), body)
        }

    override fun create(
        key: ObjectKey,
        value: String,
    ): Result<ObjectVersion, StoreError> =
        call(client, objectRequest(key).put(requestBody(value)).header("If-None-Match", "*"), isWrite = true) { response, _ ->
            versionOf(response)
        }

    override fun update(
        key: ObjectKey,
        value: String,
        expected: ObjectVersion,
    ): Result<ObjectVersion, StoreError> =
        call(client, objectRequest(key).put(requestBody(value)).header("If-Match", entityTag(expected)), isWrite = true) { response, _ ->
            versionOf(response)
        }

    override fun delete(
        key: ObjectKey,
        expected: ObjectVersion,
    ): Result<Unit, StoreError> =
        call(client, objectRequest(key).delete().header("If-Match", entityTag(expected)), isWrite = true) { _, _ -> }

    override fun list(prefix: String): Result<ObjectListing, StoreError> {
        val url = "$baseUrl/v1/objects".toHttpUrl().newBuilder().addQueryParameter("prefix", prefix).build()
        return fetchListing(client, url)
    }

    override fun watch(
        prefix: String,
        since: ObjectVersion,
        wait: Duration,
    ): Result<ObjectListing, StoreError> {
        val url =
            "$baseUrl/v1/watch"
                .toHttpUrl()
                .newBuilder()
                .addQueryParameter("prefix", prefix)
                .addQueryParameter("since", since.value.toString())
                .addQueryParameter("waitSeconds", wait.toSeconds().toString())
                .build()
        val limit = wait.plus(WATCH_MARGIN)
        return fetchListing(client.newBuilder().readTimeout(limit).callTimeout(limit).build(), url)
    }

    private fun fetchListing(
        httpClient: OkHttpClient,
        url: HttpUrl,
    ): Result<ObjectListing, StoreError> =
        call(httpClient, Request.Builder().url(url), isWrite = false) { _, body ->
            JSON.decodeFromString(WireListing.serializer(), body)
        }.map { wire ->
            ObjectListing(
                ObjectVersion(wire.revision),
                wire.objects.map { StoredObject(ObjectKey(it.key), ObjectVersion(it.version), it.value) },
            )
        }

    private fun objectRequest(key: ObjectKey): Request.Builder = Request.Builder().url("$baseUrl/v1/objects/${key.value}")

    private fun requestBody(value: String): RequestBody = value.toByteArray().toRequestBody(null)

    private fun entityTag(version: ObjectVersion): String = "\"${version.value}\""

    private fun versionOf(response: Response): ObjectVersion =
        ObjectVersion(response.header("ETag")?.trim('"')?.toLongOrNull() ?: throw IOException("response has no valid ETag header"))

    private fun <T> call(
        httpClient: OkHttpClient,
        builder: Request.Builder,
        isWrite: Boolean,
        read: (Response, body: String) -> T,
    ): Result<T, StoreError> {
        val tracker = SendTracker()
        val request = builder.tag(SendTracker::class.java, tracker).build()
        return try {
            httpClient.newCall(request).execute().use { response ->
                // Also where the body says nothing: a response that is cut off confirms no write.
                val body = response.body.boundedString()
                if (response.isSuccessful) Ok(read(response, body)) else Err(toError(response))
            }
        } catch (e: IOException) {
            Err(callFailure(e.message ?: e.javaClass.simpleName, isWrite && tracker.mayHaveBeenSent))
        } catch (e: SerializationException) {
            Err(callFailure("cannot decode response: ${e.message}", isWrite))
        }
    }

    private fun callFailure(
        detail: String,
        mayHaveEffect: Boolean,
    ): StoreError = if (mayHaveEffect) StoreError.AnswerLost(detail) else StoreError.Unavailable(detail)

    private fun toError(response: Response): StoreError =
        when (response.code) {
            404 -> StoreError.NotFound
            412 -> StoreError.Conflict(response.header("ETag")?.trim('"')?.toLongOrNull()?.let(::ObjectVersion))
            413 -> StoreError.TooLarge
            429 -> StoreError.RateLimited(Duration.ofSeconds(response.header("Retry-After")?.toLongOrNull() ?: 1))
            503 -> StoreError.Unavailable("outage")
            else -> StoreError.AnswerLost("status ${response.code}")
        }

    @Serializable
    private class WireObject(
        val key: String,
        val version: Long,
        val value: String? = null,
    )

    @Serializable
    private class WireListing(
        val revision: Long,
        val objects: List<WireObject>,
    )

    private companion object {
        val DEFAULT_CALL_TIMEOUT: Duration = Duration.ofSeconds(2)
        val CONNECT_TIMEOUT: Duration = Duration.ofMillis(500)
        val WATCH_MARGIN: Duration = Duration.ofSeconds(2)
        val JSON = Json { ignoreUnknownKeys = true }
    }
}
