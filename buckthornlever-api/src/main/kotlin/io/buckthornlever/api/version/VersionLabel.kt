package io.buckthornlever.api.version

import kotlinx.serialization.Serializable

/** Label of a version of the software or model that an upstream runs. */
@Serializable
@JvmInline
public value class VersionLabel(
    public val value: String,
) : Comparable<VersionLabel> {
    override fun compareTo(other: VersionLabel): Int = value.compareTo(other.value)

    override fun toString(): String = value
}
