package io.buckthornlever.api.process

import kotlinx.serialization.Serializable

/** Identity of an entry instance; unique during the lifetime of its process. */
@Serializable
@JvmInline
public value class InstanceId(
    public val value: String,
) : Comparable<InstanceId> {
    override fun compareTo(other: InstanceId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}
