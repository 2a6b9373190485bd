package io.buckthornlever.http.connection

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import com.github.michaelbull.result.onSuccess
import io.buckthornlever.api.connection.UpstreamError
import io.buckthornlever.api.connection.UpstreamId
import io.buckthornlever.api.connection.UpstreamRequest
import io.buckthornlever.api.connection.UpstreamResponse
import io.buckthornlever.api.process.FailureDomain
import io.buckthornlever.api.process.ObjectKey
import io.buckthornlever.api.process.StoreError
import io.buckthornlever.api.process.UpstreamSpec
import io.buckthornlever.api.request.RequestId
import io.buckthornlever.api.version.VersionLabel
import io.buckthornlever.http.process.HttpCloudApi
import io.buckthornlever.http.process.HttpInstanceList
import io.buckthornlever.http.process.HttpObjectStore
import io.buckthornlever.standin.process.EarlyResponseServer
import io.buckthornlever.standin.process.EarlyResponseServer.End
import io.buckthornlever.standin.process.RawHttpServer
import java.io.IOException
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertIs
import kotlin.test.assertTrue

/** Guards against part of a response, or a response with an invalid status, that is taken for a complete one. */
class ResponseEndTest {
    private val client = HttpUpstreamClient()

    @Test
    fun `a reset before the last byte of the upload leaves no complete response`() = assertBroken(UNFRAMED, UPLOAD_BYTES)

    @Test
    fun `a reset during the last part of the upload leaves no complete response`() = assertBroken(UNFRAMED, 1)

    @Test
    fun `a reset after the upload leaves no complete response`() = assertBroken(UNFRAMED, 0)

    @Test
    fun `a reset inside a body with a length leaves no complete response`() = assertBroken(SHORTER_THAN_LENGTH, UPLOAD_BYTES)

    @Test
    fun `a reset inside a chunked body leaves no complete response`() = assertBroken(WITHOUT_LAST_CHUNK, UPLOAD_BYTES)

    @Test
    fun `an orderly close ends a body without length before, during and after the upload`() {
        for (unread in listOf(UPLOAD_BYTES, 1, 0)) {
            for (pause in PAUSES) {
                EarlyResponseServer(End.ORDERLY, unread, pause) { UNFRAMED }.use {
                    assertEquals("part", read(call(it.url)), "$unread bytes unread, pause of $pause ms")
                }
            }
        }
    }

    @Test
    fun `a write to the store whose response is reset is not confirmed`() {
        val value = "x".repeat(UPLOAD_BYTES)
        for (unread in listOf(UPLOAD_BYTES, 1, 0)) {
            for (pause in PAUSES) {
                EarlyResponseServer(End.RESET, unread, pause) { "HTTP/1.1 200 OK\r\nETag: \"7\"\r\n\r\npart" }.use {
                    val error = HttpObjectStore(it.url).create(ObjectKey("config/routes"), value).getError()
                    assertIs<StoreError.AnswerLost>(error, "$unread bytes unread, pause of $pause ms")
                }
            }
        }
    }

    @Test
    fun `an order to an engine whose response is reset is not confirmed`() {
        for (unread in listOf(ORDER_BYTES, 0)) {
            for (pause in PAUSES) {
                EarlyResponseServer(End.RESET, unread, pause) { UNFRAMED }.use {
                    val result = HttpEngineControl().cancel(upstream(it.url), RequestId("r".repeat(ORDER_BYTES)))
                    assertIs<UpstreamError.Broken>(result.getError(), "$unread bytes unread, pause of $pause ms")
                }
            }
        }
    }

    @Test
    fun `a status outside 100 to 599 is no response`() {
        for (status in INVALID_STATUSES) {
            RawHttpServer { it.write(RawHttpServer.response(status, "[]", "ETag: \"7\"")) }.use {
                val calls: List<Result<*, *>> =
                    listOf(
                        call(it.url, bytes = 0),
                        client.fetchLoad(upstream(it.url)),
                        HttpEngineControl().cancel(upstream(it.url), RequestId("r1")),
                        HttpObjectStore(it.url).create(ObjectKey("config/routes"), "v"),
                        HttpInstanceList(it.url).instances(),
                        HttpCloudApi(it.url).stop("i1"),
                    )
                assertTrue(calls.all { call -> call.isErr }, "status $status: $calls")
                assertIs<UpstreamError.Broken>(calls.first().getError(), "status $status")
            }
        }
    }

    @Test
    fun `valid statuses are responses`() {
        for (status in listOf("200 OK", "299 Odd", "404", "599 Odd")) {
            RawHttpServer { it.write(RawHttpServer.response(status, "ok")) }.use {
                assertEquals(status.take(3).toInt(), call(it.url, bytes = 0).get()?.status, "status $status")
            }
        }
    }

    private fun assertBroken(
        response: String,
        unread: Int,
    ) {
        repeat(ROUNDS) {
            for (pause in PAUSES) {
                EarlyResponseServer(End.RESET, unread, pause) { response }.use {
                    call(it.url).onSuccess { response ->
                        assertFailsWith<IOException>("pause of $pause ms") { response.use { part -> part.body.readAllBytes() } }
                    }
                }
            }
        }
    }

    private fun read(result: Result<UpstreamResponse, UpstreamError>): String? =
        result.get()?.use { it.body.readAllBytes().decodeToString() }

    private fun call(
        url: String,
        bytes: Int = UPLOAD_BYTES,
    ): Result<UpstreamResponse, UpstreamError> {
        val request = UpstreamRequest(RequestId("r1"), "POST", "/", emptyList(), ByteArray(bytes), CALL_MILLIS, CALL_MILLIS)
        return client.call(upstream(url), request)
    }

    private fun upstream(url: String) = UpstreamSpec(UpstreamId("u1"), url, FailureDomain("a"), VersionLabel("v1"))

    private companion object {
        const val UPLOAD_BYTES = 16 * 1_024 * 1_024
        const val ORDER_BYTES = 4 * 1_024 * 1_024
        const val ROUNDS = 5
        const val CALL_MILLIS = 3_000L
        const val UNFRAMED = "HTTP/1.1 200 OK\r\n\r\npart"
        const val SHORTER_THAN_LENGTH = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart"
        const val WITHOUT_LAST_CHUNK = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n"

        /** Time between a response and the end of its connection: the client reads it before, at or after the reset. */
        val PAUSES = listOf(0L, 1L, 20L)
        val INVALID_STATUSES =
            listOf(
                "000 None",
                "099 Low",
                "600 High",
                "999 High",
                "20 Short",
                "2000 Long",
                "0200 Long",
                "+200 Sign",
                "-20 Sign",
                "2x0 Odd",
                "OK",
            )
    }
}
