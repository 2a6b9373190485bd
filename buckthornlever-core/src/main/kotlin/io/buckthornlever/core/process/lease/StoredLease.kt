package io.buckthornlever.core.process.lease

import io.buckthornlever.api.process.ObjectVersion

/** A [record] as read from the store. */
public data class StoredLease(
    val version: ObjectVersion,
    val record: LeaseRecord,
)
