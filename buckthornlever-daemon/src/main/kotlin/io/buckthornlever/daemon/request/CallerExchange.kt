package io.buckthornlever.daemon.request

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.buckthornlever.api.connection.Header
import io.buckthornlever.api.request.ErrorCode
import io.buckthornlever.api.request.ExecutionStatus
import io.buckthornlever.api.request.RequestError
import io.buckthornlever.api.request.RequestId
import io.javalin.http.Context
import java.io.ByteArrayOutputStream
import java.io.IOException
import java.io.InputStream
import java.io.OutputStream

/** One caller's request and the way to answer it. */
internal class CallerExchange(
    private val context: Context,
    val id: RequestId,
) {
    val method: String get() = context.req().method
    val path: String get() = context.req().requestURI
    val pathWithQuery: String get() = context.req().queryString?.let { "$path?$it" } ?: path

    /** True once the head of the answer may have reached the caller. */
    var started: Boolean = false
        private set

    fun header(name: String): String? = context.req().getHeader(name)

    /** Headers that go on to an upstream: no hop-by-hop headers, no credentials, no body framing. */
    fun forwardedHeaders(): List<Header> =
        context
            .req()
            .headerNames
            .asSequence()
            .filter { it.lowercase() !in NOT_FORWARDED }
            .map { Header(it, context.req().getHeader(it)) }
            .toList()

    /** Reads the body of at most [maxBytes] bytes. */
    fun readBody(maxBytes: Long): Result<ByteArray, RequestError> {
        if (context.req().contentLengthLong > maxBytes) return Err(tooLarge(maxBytes))
        return try {
            readBounded(context.req().inputStream, maxBytes)?.let { Ok(it) } ?: Err(tooLarge(maxBytes))
        } catch (e: IOException) {
            Err(RequestError(ErrorCode.REQUEST_TIMEOUT, ExecutionStatus.NOT_RUN, "the request body did not arrive completely"))
        }
    }

    /** Sends the head of the answer and returns the stream for its body. */
    fun begin(
        status: Int,
        headers: List<Header>,
    ): OutputStream {
        started = true
        context.status(status)
        headers.forEach { context.res().addHeader(it.name, it.value) }
        context.res().setHeader(REQUEST_ID_HEADER, id.value)
        return context.res().outputStream
    }

    /** Sends a whole answer. */
    fun answer(
        status: Int,
        headers: List<Header>,
        body: ByteArray,
    ) {
        context.res().setContentLength(body.size)
        begin(status, headers).use { it.write(body) }
    }

    private fun readBounded(
        input: InputStream,
        maxBytes: Long,
    ): ByteArray? {
        val out = ByteArrayOutputStream()
        val buffer = ByteArray(BUFFER_BYTES)
        while (true) {
            val count = input.read(buffer)
            if (count < 0) return out.toByteArray()
            out.write(buffer, 0, count)
            if (out.size() > maxBytes) return null
        }
    }

    private fun tooLarge(maxBytes: Long): RequestError =
        RequestError(ErrorCode.BODY_TOO_LARGE, ExecutionStatus.NOT_RUN, "the body is larger than the route's limit of $maxBytes bytes")

    companion object {
        const val REQUEST_ID_HEADER: String = "X-Request-Id"
        private const val BUFFER_BYTES = 8_192
        private val NOT_FORWARDED =
            setOf(
                "authorization",
                "connection",
                "content-length",
                "expect",
                "host",
                "keep-alive",
                "proxy-authorization",
                "proxy-connection",
                "te",
                "trailer",
                "transfer-encoding",
                "upgrade",
                "x-request-id",
            )
    }
}
