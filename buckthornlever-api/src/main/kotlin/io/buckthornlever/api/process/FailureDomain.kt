package io.buckthornlever.api.process

import kotlinx.serialization.Serializable

/** Name of a failure domain: a group of instances that can all fail at the same time. */
@Serializable
@JvmInline
public value class FailureDomain(
    public val value: String,
) : Comparable<FailureDomain> {
    override fun compareTo(other: FailureDomain): Int = value.compareTo(other.value)

    override fun toString(): String = value
}
