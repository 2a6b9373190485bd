package io.buckthornlever.api.process

/** Version of a stored object; increases with every write to the store. */
@JvmInline
public value class ObjectVersion(
    public val value: Long,
) : Comparable<ObjectVersion> {
    override fun compareTo(other: ObjectVersion): Int = value.compareTo(other.value)
}
