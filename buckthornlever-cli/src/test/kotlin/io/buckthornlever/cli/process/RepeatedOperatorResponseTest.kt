package io.buckthornlever.cli.process

import io.buckthornlever.cli.connection.OperatorClient
import io.buckthornlever.standin.process.RawHttpServer
import io.buckthornlever.standin.process.RepeatingServer
import io.buckthornlever.standin.process.ResponseCopy
import kotlin.test.Test
import kotlin.test.assertEquals

/** Guards against an operator who is told that a change was refused, although the daemon has accepted it. */
class RepeatedOperatorResponseTest {
    @Test
    fun `a repeated response to the read before a change is not taken for the answer to the change`() {
        val failures =
            ResponseCopy.entries.flatMap { copy ->
                listOf("404 Not Found", "409 Conflict", "503 Service Unavailable").mapNotNull { refusal ->
                    RepeatingServer(RawHttpServer.response(refusal), copy) { _, _ -> RawHttpServer.response("200 OK", "{}") }.use {
                        val client = OperatorClient(it.url, "secret")
                        client.get("/admin/config/pools")
                        val seen = List(2) { client.put("/admin/config/pools", "{}", null).status }
                        if (seen == listOf(200, 200)) null else "$refusal $copy: $seen"
                    }
                }
            }
        assertEquals(emptyList(), failures)
    }
}
