package io.buckthornlever.api.request

import java.time.Duration

/**
 * Why a caller's request ends without the answer of an upstream.
 *
 * @property code stable error code for programs
 * @property executed what is known about the execution of the call
 * @property detail text for people, without secrets
 * @property retryAfter when a repetition can succeed, if known
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
