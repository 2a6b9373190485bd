package io.buckthornlever.http.process

import com.github.michaelbull.result.Result
import io.buckthornlever.api.process.PlatformError
import io.buckthornlever.api.process.WeightStore
import io.buckthornlever.api.version.VersionLabel
import io.buckthornlever.http.connection.boundedBytes
import okhttp3.HttpUrl.Companion.toHttpUrl
import okhttp3.Request
import java.time.Duration

/** [WeightStore] over HTTP. [baseUrl] has no trailing slash. */
public class HttpWeightStore(
    private val baseUrl: String,
    timeout: Duration = CALL_TIMEOUT,
) : WeightStore {
    private val http = PlatformHttpClient(timeout)

    override fun fetch(
        model: String,
        version: VersionLabel,
    ): Result<ByteArray, PlatformError> {
        val url = "$baseUrl/v1/weights".toHttpUrl().newBuilder().addPathSegment(model).addPathSegment(version.value).build()
        return http.call(Request.Builder().url(url).build()) { it.body.boundedBytes(MAX_WEIGHT_BYTES) }
    }

    private companion object {
        /** Long, because weights are large and the store limits the number of calls, not bytes. */
        val CALL_TIMEOUT: Duration = Duration.ofMinutes(5)

        const val MAX_WEIGHT_BYTES = 256L * 1_024 * 1_024
    }
}
