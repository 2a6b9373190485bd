package io.buckthornlever.api.process

import kotlinx.serialization.Serializable

/**
 * A validation problem in the settings or in a table.
 *
 * @property path location of the problem, such as `routes[2].pools[0]`
 * @property message what is wrong and what is allowed
 */
@Serializable
public data class Finding(
    val path: String,
    val message: String,
) {
    override fun toString(): String = "$path: $message"
}
