package io.buckthornlever.api.process

import kotlinx.serialization.Serializable

/** Identity of one entry instance; unique for the life of its process. */
@Serializable
@JvmInline
public value class InstanceId(
    public val value: String,
) : Comparable<InstanceId> {
    override fun compareTo(other: InstanceId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}
