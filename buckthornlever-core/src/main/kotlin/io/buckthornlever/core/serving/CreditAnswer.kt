package io.buckthornlever.core.serving

/**
 * Answer of a quota holder to the [CreditAsk] with the same [id].
 *
 * @property granted units that the asking instance may spend; 0 if there was no room
 * @property free units that are left for requests of that priority, also above the ceiling
 * @property waitNanos time after which it makes sense to ask again
 * @property isAboveCeiling true if there is room only above the ceiling
 * @property smallCost units below which a request is not held back for more urgent ones
 * @property freeForSmall units that are left below the ceiling for requests of less than [smallCost]
 * @property validNanos time after the question within which the units may be spent
 */
public data class CreditAnswer(
    val id: Long,
    val granted: Double,
    val free: Double,
    val waitNanos: Long,
    val isAboveCeiling: Boolean,
    val smallCost: Double = 0.0,
    val freeForSmall: Double = 0.0,
    val validNanos: Long = QuotaBounds.CREDIT_VALIDITY.toNanos(),
)
