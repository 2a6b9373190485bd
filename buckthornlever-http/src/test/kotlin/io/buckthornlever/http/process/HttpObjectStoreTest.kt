package io.buckthornlever.http.process

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import io.buckthornlever.api.process.ObjectKey
import io.buckthornlever.api.process.ObjectVersion
import io.buckthornlever.api.process.StoreError
import mockwebserver3.MockResponse
import mockwebserver3.MockWebServer
import mockwebserver3.SocketEffect
import org.junit.jupiter.api.AfterEach
import java.time.Duration
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

class HttpObjectStoreTest {
    private val server = MockWebServer().apply { start() }
    private val store = HttpObjectStore("http://127.0.0.1:${server.port}", Duration.ofMillis(500))
    private val key = ObjectKey("config/routes")

    @AfterEach
    fun close() = server.close()

    @Test
    fun `statuses are mapped to typed errors`() {
        val cases =
            listOf(
                404 to StoreError.NotFound,
                412 to StoreError.Conflict(ObjectVersion(9)),
                413 to StoreError.TooLarge,
                429 to StoreError.RateLimited(Duration.ofSeconds(3)),
                503 to StoreError.Unavailable("outage"),
            )
        cases.forEach { (status, error) ->
            server.enqueue(MockResponse.Builder().code(status).setHeader("ETag", "\"9\"").setHeader("Retry-After", "3").build())
            assertEquals(error, store.update(key, "{}", ObjectVersion(8)).getError())
        }
    }

    @Test
    fun `a write whose response is lost has an unknown outcome`() {
        server.enqueue(MockResponse.Builder().onResponseStart(SocketEffect.ShutdownConnection).build())
        assertIs<StoreError.AnswerLost>(store.create(key, "{}").getError())
    }

    @Test
    fun `a refused connection is known to have no effect`() {
        server.close()
        assertIs<StoreError.Unavailable>(store.create(key, "{}").getError())
    }

    @Test
    fun `conditions and versions are sent in headers`() {
        server.enqueue(MockResponse.Builder().code(200).setHeader("ETag", "\"12\"").build())
        assertEquals(ObjectVersion(12), store.update(key, "{}", ObjectVersion(11)).get())
        assertEquals("\"11\"", server.takeRequest().headers["If-Match"])
    }
}
