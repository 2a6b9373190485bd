package io.buckthornlever.bench.process.control

/**
 * Naive lease: a record with a wall-clock expiry, renewed by whoever reads its own name; a holder trusts its last renewal until the
 * next one and sends orders without a number.
 */
internal class NaiveLease(
    private val self: Int,
    private val ttl: Long,
) {
    /** Content of the stored record. */
    data class Record(
        val holder: Int,
        val expiresAt: Long,
    )

    var believesHolder = false
        private set

    /** Reads [stored] at the own wall clock [now]; returns the record to write, or null. */
    fun read(stored: Record?, now: Long): Record? {
        val free = stored == null || stored.holder == self || now >= stored.expiresAt
        if (!free) believesHolder = false
        return if (free) Record(self, now + ttl) else null
    }

    /** Result of the write of a record. */
    fun written(succeeded: Boolean) {
        believesHolder = succeeded
    }
}
