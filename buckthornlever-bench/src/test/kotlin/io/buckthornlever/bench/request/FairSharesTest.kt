package io.buckthornlever.bench.request

import io.buckthornlever.api.process.AccountId
import kotlin.test.Test
import kotlin.test.assertEquals

class FairSharesTest {
    /** Guards against an experiment that measures accounts against a wrong share. */
    @Test
    fun `small demands are met and the rest is divided by weight`() {
        val ids = listOf("a", "b", "c").map { AccountId(it) }
        val shares = FairShares.divide(100.0, ids.zip(listOf(10.0, 200.0, 200.0)).toMap(), ids.zip(listOf(1.0, 2.0, 1.0)).toMap())
        assertEquals(mapOf(ids[0] to 10.0, ids[1] to 60.0, ids[2] to 30.0), shares)
    }
}
