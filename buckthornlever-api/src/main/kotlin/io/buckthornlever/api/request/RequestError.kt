package io.buckthornlever.api.request

import java.time.Duration

/**
 * Why a caller's request ends without a response from an upstream.
 *
 * @property code stable, machine-readable error code
 * @property executed what is known about the execution of the request
 * @property detail human-readable text; contains no secrets
 * @property retryAfter delay after which a retry can succeed; null when unknown
 */
public data class RequestError(
    val code: ErrorCode,
    val executed: ExecutionStatus,
    val detail: String,
    val retryAfter: Duration? = null,
) {
    /** HTTP status that belongs to [code]. */
    public val status: Int get() = code.status
}
