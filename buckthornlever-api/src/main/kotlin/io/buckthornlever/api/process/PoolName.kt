package io.buckthornlever.api.process

import kotlinx.serialization.Serializable

/** Name of a pool in the pool table. */
@Serializable
@JvmInline
public value class PoolName(
    public val value: String,
) : Comparable<PoolName> {
    override fun compareTo(other: PoolName): Int = value.compareTo(other.value)

    override fun toString(): String = value
}
