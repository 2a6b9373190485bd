package io.buckthornlever.core.serving

import io.buckthornlever.api.serving.StoreRevision
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertTrue

/** Guards against revisions that a restored store gives out again and that look older than the lost ones. */
class StoreRevisionTest {
    @Test
    fun `each revision of a later era is above those of earlier eras`() {
        assertTrue(StoreRevision.of(2, 1) > StoreRevision.of(1, 1_000_000_000_000))
        assertTrue(StoreRevision.of(2, 2) > StoreRevision.of(2, 1))
    }

    @Test
    fun `era and number are kept`() {
        val revision = StoreRevision.of(3, 99)
        assertEquals(3, StoreRevision.eraOf(revision))
        assertEquals(99, StoreRevision.numberOf(revision))
    }

    @Test
    fun `without an era the revision is the store's own number`(): Unit = assertEquals(99, StoreRevision.of(0, 99))

    @Test
    fun `an era or number that does not fit is rejected`() {
        assertFailsWith<IllegalArgumentException> { StoreRevision.of(-1, 1) }
        assertFailsWith<IllegalArgumentException> { StoreRevision.of(1L shl 40, 1) }
        assertFailsWith<IllegalArgumentException> { StoreRevision.of(1, 1L shl 40) }
        assertFailsWith<IllegalArgumentException> { StoreRevision.of(1, -1) }
    }
}
