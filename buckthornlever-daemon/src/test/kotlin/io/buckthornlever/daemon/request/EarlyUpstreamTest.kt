package io.buckthornlever.daemon.request

import io.buckthornlever.daemon.process.DaemonHarness
import io.buckthornlever.standin.process.EarlyResponseServer
import io.buckthornlever.standin.process.EarlyResponseServer.End
import okhttp3.RequestBody.Companion.toRequestBody
import kotlin.test.Test
import kotlin.test.assertEquals

/** Guards against part of a response, or a response with an invalid status, that the daemon forwards as a complete one. */
internal class EarlyUpstreamTest {
    @Test
    fun `a response that is reset before, during or after the upload is not forwarded`() {
        for (unread in listOf(BODY_BYTES, 1, 0)) {
            EarlyResponseServer(End.RESET, unread, PAUSE_MILLIS) { UNFRAMED }.use {
                assertEquals(5, call(it.url).first / 100, "$unread bytes unread")
            }
        }
    }

    @Test
    fun `a response that ends in order is forwarded`() {
        for (unread in listOf(BODY_BYTES, 1, 0)) {
            EarlyResponseServer(End.ORDERLY, unread, PAUSE_MILLIS) { UNFRAMED }.use {
                assertEquals(200 to "part", call(it.url), "$unread bytes unread")
            }
        }
    }

    @Test
    fun `a response with an invalid status is not forwarded`() {
        for (status in listOf("000 None", "099 Low", "600 High", "999 High", "-20 Sign", "2x0 Odd")) {
            EarlyResponseServer(End.ORDERLY, 0) { "HTTP/1.1 $status\r\n\r\npart" }.use {
                val (code, body) = call(it.url)
                assertEquals(5, code / 100, "status $status: $code $body")
            }
        }
    }

    /** Status and body of the daemon's response to a call that it may send only once. */
    private fun call(url: String): Pair<Int, String> =
        DaemonHarness(serviceUrl = url).use { harness ->
            harness.start()
            val request = harness.request("/payments/a").header("Idempotency-Key", "k1").post(ByteArray(BODY_BYTES).toRequestBody())
            harness.send(request).use { it.code to it.body.string() }
        }

    private companion object {
        const val UNFRAMED = "HTTP/1.1 200 OK\r\n\r\npart"

        /** Below the limit of the route. */
        const val BODY_BYTES = 9_000

        /** Lets the daemon read the response before its connection ends. */
        const val PAUSE_MILLIS = 20L
    }
}
