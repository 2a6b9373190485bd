package io.buckthornlever.api.serving

/**
 * Revisions of the shared store that stay ordered when the store is restored from a copy. A restored store gives out the numbers of
 * lost revisions again, in a new era. A revision has the era in its upper bits and the number below, so each revision of an era is
 * above all revisions of earlier ones.
 */
public object StoreRevision {
    private const val NUMBER_BITS = 40
    private const val MAX_NUMBER = (1L shl NUMBER_BITS) - 1
    private const val MAX_ERA = Long.MAX_VALUE shr NUMBER_BITS

    /** Returns the revision with [number] in [era]; throws [IllegalArgumentException] if either is out of range. */
    public fun of(
        era: Long,
        number: Long,
    ): Long {
        require(era in 0..MAX_ERA) { "era $era is not between 0 and $MAX_ERA" }
        require(number in 0..MAX_NUMBER) { "revision number $number is not between 0 and $MAX_NUMBER" }
        return (era shl NUMBER_BITS) or number
    }

    /** Era of [revision]. */
    public fun eraOf(revision: Long): Long = revision ushr NUMBER_BITS

    /** Number that the store itself uses for [revision]. */
    public fun numberOf(revision: Long): Long = revision and MAX_NUMBER
}
