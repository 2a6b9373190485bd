package io.buckthornlever.api.request

/** Stable error codes of the API for callers. */
public enum class ErrorCode(
    /** Value of the `code` member of the problem document. */
    public val wireName: String,
    /** HTTP status of the response. */
    public val status: Int,
) {
    BAD_REQUEST("bad-request", 400),
    UNAUTHENTICATED("unauthenticated", 401),
    NO_ROUTE("no-route", 404),
    NOT_FOUND("not-found", 404),
    METHOD_NOT_ALLOWED("method-not-allowed", 405),
    REQUEST_TIMEOUT("request-timeout", 408),
    KEY_CONFLICT("idempotency-key-conflict", 409),
    IN_PROGRESS("in-progress", 409),
    BODY_TOO_LARGE("body-too-large", 413),
    UNSUPPORTED_MEDIA_TYPE("unsupported-media-type", 415),
    CRASHES_UPSTREAMS("crashes-upstreams", 422),
    TOO_MANY_REQUESTS("too-many-requests", 429),
    INTERNAL("internal", 500),
    UPSTREAM_FAILED("upstream-failed", 502),
    NO_UPSTREAM("no-upstream", 503),
    OVERLOADED("overloaded", 503),
    STORE_UNAVAILABLE("store-unavailable", 503),
    SHUTTING_DOWN("shutting-down", 503),
    OUTCOME_UNKNOWN("outcome-unknown", 504),
    DEADLINE_EXCEEDED("deadline-exceeded", 504),
}
