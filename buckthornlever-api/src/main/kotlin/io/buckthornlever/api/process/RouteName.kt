package io.buckthornlever.api.process

import kotlinx.serialization.Serializable

/** Name of a route in the route table. */
@Serializable
@JvmInline
public value class RouteName(
    public val value: String,
) : Comparable<RouteName> {
    override fun compareTo(other: RouteName): Int = value.compareTo(other.value)

    override fun toString(): String = value
}
