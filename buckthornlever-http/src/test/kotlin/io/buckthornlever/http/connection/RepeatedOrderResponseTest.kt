package io.buckthornlever.http.connection

import com.github.michaelbull.result.mapBoth
import io.buckthornlever.api.connection.EngineOrder
import io.buckthornlever.api.connection.EngineOrderKind
import io.buckthornlever.api.connection.UpstreamId
import io.buckthornlever.api.process.CloudInstanceKind
import io.buckthornlever.api.process.CloudStartRequest
import io.buckthornlever.api.process.FailureDomain
import io.buckthornlever.api.process.UpstreamSpec
import io.buckthornlever.api.version.VersionLabel
import io.buckthornlever.http.process.HttpCloudApi
import io.buckthornlever.standin.process.RawHttpServer
import io.buckthornlever.standin.process.RepeatingServer
import io.buckthornlever.standin.process.ResponseCopy
import kotlin.test.Test
import kotlin.test.assertEquals

/** Guards against the copy of a refusal that is taken for the answer to a later order, which is carried out. */
internal class RepeatedOrderResponseTest {
    @Test
    fun `a repeated refusal by an engine does not refuse an order that is carried out`() {
        assertNoneRefused("409 Conflict", "503 Service Unavailable", "404 Not Found") { url ->
            val control = HttpEngineControl()
            val upstream = UpstreamSpec(UpstreamId("u"), url, FailureDomain("a"), VersionLabel("v1"))
            val send = { number: Int ->
                val order = EngineOrder(3, EngineOrderKind.SET_VERSION, "course", "v2", "engine/$number")
                control.order(upstream, order).mapBoth({ ACCEPTED }, { it.toString() })
            }
            send
        }
    }

    @Test
    fun `a repeated refusal by the cloud does not refuse an instance that starts`() {
        assertNoneRefused("409 Conflict", "429 Too Many Requests", "503 Service Unavailable") { url ->
            val cloud = HttpCloudApi(url)
            val send = { number: Int ->
                val request = CloudStartRequest("models/$number", FailureDomain("a"), "large", CloudInstanceKind.ON_DEMAND)
                cloud.start(request).mapBoth({ ACCEPTED }, { it.toString() })
            }
            send
        }
    }

    /** Sends three requests in each case; the second and the third must be accepted. */
    private fun assertNoneRefused(
        vararg refusals: String,
        sender: (String) -> (Int) -> String,
    ) {
        val failures =
            ResponseCopy.entries.flatMap { copy ->
                refusals.mapNotNull { refusal ->
                    RepeatingServer(RawHttpServer.response(refusal), copy) { _, _ -> RawHttpServer.response("201 Created", INSTANCE) }.use {
                        val seen = (0..2).map(sender(it.url)).drop(1)
                        if (seen.all { outcome -> outcome == ACCEPTED }) null else "$refusal $copy: $seen"
                    }
                }
            }
        assertEquals(emptyList(), failures)
    }

    private companion object {
        const val ACCEPTED = "accepted"
        const val INSTANCE =
            """{"id":"i-1","requestId":"models/1","failureDomain":"a","machineClass":"large","kind":"on-demand","state":"starting"}"""
    }
}
