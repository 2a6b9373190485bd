package io.buckthornlever.http.process

import com.github.michaelbull.result.mapBoth
import io.buckthornlever.api.process.ObjectKey
import io.buckthornlever.api.process.ObjectVersion
import io.buckthornlever.standin.process.RawHttpServer
import io.buckthornlever.standin.process.RepeatingServer
import io.buckthornlever.standin.process.ResponseCopy
import kotlin.test.Test
import kotlin.test.assertEquals

/** Guards against the copy of an answer of the store that is taken for the answer to a later operation on the same connection. */
internal class RepeatedStoreResponseTest {
    @Test
    fun `a repeated confirmation does not confirm the create of another record`() {
        val conflict = RawHttpServer.response("412 Precondition Failed", "", "ETag: \"9\"")
        assertEquals(emptyList(), failures(listOf("201 Created"), conflict, "Conflict(current=ObjectVersion(value=9))"))
    }

    @Test
    fun `a repeated refusal does not refuse a create that takes effect`() {
        val statuses =
            listOf("503 Service Unavailable", "429 Too Many Requests", "412 Precondition Failed", "413 Too Large", "404 Not Found")
        assertEquals(emptyList(), failures(statuses, RawHttpServer.response("201 Created", "", "ETag: \"9\""), "ObjectVersion(value=9)"))
    }

    @Test
    fun `a repeated read does not return the record of another key`() {
        val failures =
            ResponseCopy.entries.mapNotNull { copy ->
                val first = RawHttpServer.response("200 OK", "record 0", "ETag: \"8\"")
                RepeatingServer(first, copy) { _, number -> RawHttpServer.response("200 OK", "record ${number + 1}", "ETag: \"9\"") }.use {
                    val store = HttpObjectStore(it.url)
                    val seen = (0..2).map { number ->
                        store.get(key(number)).mapBoth({ read -> read.value.orEmpty() }, { e -> e.toString() })
                    }
                    if (seen == listOf("record 0", "record 1", "record 2")) null else "$copy: $seen"
                }
            }
        assertEquals(emptyList(), failures)
    }

    private fun failures(
        firstStatuses: List<String>,
        answer: String,
        expected: String,
    ): List<String> =
        ResponseCopy.entries.flatMap { copy ->
            firstStatuses.mapNotNull { status ->
                RepeatingServer(RawHttpServer.response(status, "", "ETag: \"8\""), copy) { _, _ -> answer }.use { server ->
                    val store = HttpObjectStore(server.url)
                    store.create(key(0), "{}")
                    val seen = (1..2).map {
                        store.create(key(it), "{}").mapBoth({ v: ObjectVersion -> v.toString() }, { e -> e.toString() })
                    }
                    if (seen == listOf(expected, expected)) null else "$status $copy: $seen"
                }
            }
        }

    private fun key(number: Int): ObjectKey = ObjectKey("once/a/$number")
}
