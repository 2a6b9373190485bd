package io.buckthornlever.http.process

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.map
import io.buckthornlever.api.process.CloudApi
import io.buckthornlever.api.process.CloudInstance
import io.buckthornlever.api.process.CloudNotice
import io.buckthornlever.api.process.CloudPrice
import io.buckthornlever.api.process.CloudStartRequest
import io.buckthornlever.api.process.PlatformError
import io.buckthornlever.http.connection.boundedString
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import okhttp3.Request
import java.time.Duration

/** [CloudApi] over HTTP. [baseUrl] has no trailing slash. */
public class HttpCloudApi(
    private val baseUrl: String,
    timeout: Duration = CALL_TIMEOUT,
) : CloudApi {
    private val http = PlatformHttpClient(timeout)

    override fun start(request: CloudStartRequest): Result<CloudInstance, PlatformError> {
        val body = http.jsonBody(CloudStartRequest.serializer(), request)
        return http.call(Request.Builder().url(baseUrl + INSTANCES).post(body).build()) {
            PlatformHttpClient.JSON.decodeFromString(CloudInstance.serializer(), it.body.boundedString())
        }
    }

    override fun stop(instanceId: String): Result<Unit, PlatformError> {
        val result = http.call(Request.Builder().url("$baseUrl$INSTANCES/$instanceId").delete().build()) { it.body.boundedString() }.map { }
        // Status 404 means that the instance no longer exists, which is a successful stop.
        return result.fold(success = { Ok(it) }, failure = { if (it == PlatformError.Refused("status 404")) Ok(Unit) else Err(it) })
    }

    override fun instances(): Result<List<CloudInstance>, PlatformError> =
        fetch(baseUrl + INSTANCES, WireInstances.serializer()).map { it.instances }

    override fun notices(since: Long): Result<List<CloudNotice>, PlatformError> =
        fetch("$baseUrl/v1/cloud/notices?since=$since", WireNotices.serializer()).map { response ->
            response.notices.map { CloudNotice(it.sequence, it.instanceId, it.endsAt) }
        }

    override fun prices(): Result<List<CloudPrice>, PlatformError> =
        fetch("$baseUrl/v1/cloud/prices", WirePrices.serializer()).map { it.prices }

    private fun <T> fetch(
        url: String,
        serializer: KSerializer<T>,
    ): Result<T, PlatformError> = http.call(Request.Builder().url(url).build()) {
        PlatformHttpClient.JSON.decodeFromString(serializer, it.body.boundedString())
    }

    @Serializable
    private class WireInstances(
        val instances: List<CloudInstance>,
    )

    @Serializable
    private class WireNotice(
        @SerialName("seq")
        val sequence: Long,
        val instanceId: String,
        val endsAt: String,
    )

    @Serializable
    private class WireNotices(
        val notices: List<WireNotice>,
    )

    @Serializable
    private class WirePrices(
        val prices: List<CloudPrice>,
    )

    private companion object {
        const val INSTANCES = "/v1/cloud/instances"
        val CALL_TIMEOUT: Duration = Duration.ofSeconds(3)
    }
}
