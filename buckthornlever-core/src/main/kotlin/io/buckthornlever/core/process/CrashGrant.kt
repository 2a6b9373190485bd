package io.buckthornlever.core.process

import io.buckthornlever.api.request.RequestId

/**
 * Permission to run the only attempt of a quarantined fingerprint, one whose attempts need a grant (see [CrashGuard]).
 *
 * @property attempt request that holds the grant
 * @property expiresAtMillis wall-clock time in milliseconds at which the owner considers the attempt ended if its instance has not reported
 */
public data class CrashGrant(
    val attempt: RequestId,
    val expiresAtMillis: Long,
)
