package io.buckthornlever.bench.process

/**
 * Result of checking one line of what must always hold.
 *
 * @property checked how many cases were looked at
 * @property violations descriptions of the cases that break the line
 */
internal data class InvariantResult(
    val name: String,
    val checked: Int,
    val violations: List<String>,
)
