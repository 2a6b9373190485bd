package io.buckthornlever.http.process

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.buckthornlever.api.process.FailureDomain
import io.buckthornlever.api.process.InstanceId
import io.buckthornlever.api.process.InstanceList
import io.buckthornlever.api.process.PlatformError
import io.buckthornlever.api.process.PlatformInstance
import io.buckthornlever.http.connection.HttpClients
import io.buckthornlever.http.connection.boundedString
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import okhttp3.Request
import java.io.IOException
import java.time.Duration

/** [InstanceList] over HTTP. [baseUrl] has no trailing slash. */
public class HttpInstanceList(
    private val baseUrl: String,
) : InstanceList {
    private val client = HttpClients.builder().callTimeout(CALL_TIMEOUT).build()

    override fun instances(): Result<List<PlatformInstance>, PlatformError> =
        try {
            client.newCall(Request.Builder().url("$baseUrl/v1/instances").build()).execute().use { response ->
                when {
                    response.code == 429 -> Err(PlatformError.RateLimited(Duration.ofSeconds(1)))
                    !response.isSuccessful -> Err(PlatformError.Unavailable("status ${response.code}"))
                    else -> Ok(JSON.decodeFromString(WireList.serializer(), response.body.boundedString()).instances.map(::toInstance))
                }
            }
        } catch (e: IOException) {
            Err(PlatformError.Unavailable(e.message ?: e.javaClass.simpleName))
        } catch (e: SerializationException) {
            Err(PlatformError.Unavailable("cannot decode response: ${e.message}"))
        }

    private fun toInstance(wire: WireInstance): PlatformInstance =
        PlatformInstance(
            id = InstanceId(wire.id),
            address = wire.address,
            peerPort = wire.peerPort,
            failureDomain = FailureDomain(wire.failureDomain),
            role = wire.role,
            leaving = wire.state == "leaving",
        )

    @Serializable
    private class WireInstance(
        val id: String,
        val address: String,
        val peerPort: Int = 0,
        val failureDomain: String,
        val state: String,
        val role: String = "",
    )

    @Serializable
    private class WireList(
        val instances: List<WireInstance>,
    )

    private companion object {
        val CALL_TIMEOUT: Duration = Duration.ofSeconds(2)
        val JSON = Json { ignoreUnknownKeys = true }
    }
}
