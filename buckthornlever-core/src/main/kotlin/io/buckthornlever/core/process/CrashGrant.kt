package io.buckthornlever.core.process

import io.buckthornlever.api.request.RequestId

/**
 * The right to run the only attempt of a quarantined fingerprint.
 *
 * @property attempt holder of the right
 * @property expiresAtMillis when the owner considers the attempt ended if its instance never reports
 */
public data class CrashGrant(
    val attempt: RequestId,
    val expiresAtMillis: Long,
)
