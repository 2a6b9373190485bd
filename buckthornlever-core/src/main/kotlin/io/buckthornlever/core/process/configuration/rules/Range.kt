package io.buckthornlever.core.process.configuration.rules

import io.buckthornlever.api.process.Finding

/** Range checks for numbers in a table. */
internal object Range {
    /** A finding at [path] when [value] is outside [min]..[max]. */
    fun check(path: String, value: Long, min: Long, max: Long): Finding? =
        if (value in min..max) null else Finding(path, "is $value; allowed are $min to $max")

    /** A finding at [path] when [value] is not finite or outside [min]..[max]. */
    fun check(path: String, value: Double, min: Double, max: Double): Finding? =
        if (value in min..max) null else Finding(path, "is $value; allowed are $min to $max")
}
