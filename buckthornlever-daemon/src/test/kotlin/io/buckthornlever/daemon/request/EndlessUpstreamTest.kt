package io.buckthornlever.daemon.request

import io.buckthornlever.daemon.process.DaemonHarness
import io.buckthornlever.standin.process.EndlessServer
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertTrue

/** Guards against upstreams that send a head or a body without end, which must not fill the memory of the daemon. */
internal class EndlessUpstreamTest {
    @Test
    fun `a plain service without end is given up`() {
        for (server in listOf(EndlessServer.inHead(), EndlessServer.inBody())) {
            server.use {
                DaemonHarness(serviceUrl = server.url).use { harness ->
                    harness.start()
                    val status = harness.send(harness.request("/lookups/a").get()).use { it.code }
                    assertTrue(status in 500..599, "status $status")
                    DaemonHarness.await { server.closedByCaller > 0 }
                    assertTrue(server.sentBytes < MAX_SENT_BYTES, "${server.sentBytes} bytes were sent")
                }
            }
        }
    }

    @Test
    fun `a token stream without a line break is given up`() {
        EndlessServer.inBody("text/event-stream").use { server ->
            DaemonHarness(engineUrl = server.url).use { harness ->
                harness.start()
                val body = """{"model":"m","prompt":"one","seed":5,"max_tokens":10,"stream":false}"""
                // A long request is tried again until its deadline, which the test does not wait for.
                thread(isDaemon = true) { runCatching { harness.send(harness.completion(body)).close() } }
                DaemonHarness.await { server.closedByCaller > 0 }
                assertTrue(server.sentBytes < MAX_SENT_BYTES, "${server.sentBytes} bytes were sent")
            }
        }
    }

    private companion object {
        /** The largest bodies that some attempts read, and the buffers of their sockets. */
        const val MAX_SENT_BYTES = 256L * 1_024 * 1_024
    }
}
