package io.buckthornlever.standin.request

import java.time.Instant

/**
 * One execution of a request by a plain service.
 *
 * @property key value of `X-Standin-Key`, if the request had one
 * @property requestId value of `X-Request-Id`, if the request had one
 * @property at when the execution began
 * @property leaving true when the service had already announced that it leaves
 */
public data class PlainExecution(
    val method: String,
    val path: String,
    val key: String?,
    val requestId: String?,
    val version: String,
    val at: Instant,
    val leaving: Boolean,
)
