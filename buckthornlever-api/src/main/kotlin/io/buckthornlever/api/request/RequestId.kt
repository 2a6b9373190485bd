package io.buckthornlever.api.request

import kotlinx.serialization.Serializable

/** Identity of a caller's request; echoed in every response. */
@Serializable
@JvmInline
public value class RequestId(
    public val value: String,
) : Comparable<RequestId> {
    override fun compareTo(other: RequestId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}
