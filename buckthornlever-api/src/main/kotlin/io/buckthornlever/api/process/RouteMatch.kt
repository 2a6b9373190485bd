package io.buckthornlever.api.process

import kotlinx.serialization.Serializable

/**
 * Conditions that a request has to meet for a route.
 *
 * @property pathPrefix prefix of the request path, starting with `/`
 * @property model value of the `model` member of the body; any model when null
 * @property methods HTTP methods in upper case; any method when empty
 */
@Serializable
public data class RouteMatch(
    val pathPrefix: String,
    val model: String? = null,
    val methods: List<String> = emptyList(),
)
