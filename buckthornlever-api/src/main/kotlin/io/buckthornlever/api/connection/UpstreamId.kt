package io.buckthornlever.api.connection

import kotlinx.serialization.Serializable

/** Identity of an upstream; unique within a site. */
@Serializable
@JvmInline
public value class UpstreamId(
    public val value: String,
) : Comparable<UpstreamId> {
    override fun compareTo(other: UpstreamId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}
