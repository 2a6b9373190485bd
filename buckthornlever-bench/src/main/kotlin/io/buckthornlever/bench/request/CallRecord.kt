package io.buckthornlever.bench.request

import java.time.Duration
import java.time.Instant

/**
 * What a caller saw of one call.
 *
 * @property key value of `Idempotency-Key` and `X-Standin-Key`; null where the call has none
 * @property path path of the call
 * @property status HTTP status; 0 when no answer arrived
 * @property executed member `executed` of a problem document, else null
 * @property accepted true when the head of a successful answer arrived
 * @property whole true when the complete and correct answer arrived
 */
internal data class CallRecord(
    val kind: CallKind,
    val instance: Int,
    val key: String?,
    val path: String,
    val startedAt: Instant,
    val elapsed: Duration,
    val status: Int,
    val executed: String?,
    val accepted: Boolean,
    val whole: Boolean,
    val detail: String,
)
