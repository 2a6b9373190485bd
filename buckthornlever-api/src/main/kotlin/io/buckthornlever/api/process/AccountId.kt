package io.buckthornlever.api.process

import kotlinx.serialization.Serializable

/** Identity of a client account. */
@Serializable
@JvmInline
public value class AccountId(
    public val value: String,
) : Comparable<AccountId> {
    override fun compareTo(other: AccountId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}
