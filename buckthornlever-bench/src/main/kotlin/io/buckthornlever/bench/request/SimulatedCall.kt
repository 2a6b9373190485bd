package io.buckthornlever.bench.request

import io.buckthornlever.api.connection.UpstreamId
import io.buckthornlever.api.process.AccountId
import io.buckthornlever.api.request.RequestError
import io.buckthornlever.api.request.RequestId
import io.buckthornlever.api.request.WorkClass

/** One caller's request and what became of it, as the caller sees it. */
internal class SimulatedCall(
    val id: RequestId,
    val account: AccountId,
    val workClass: WorkClass,
    val prefix: LongArray,
    val promptTokens: Int,
    val outputTokens: Int,
    val arrivedAt: Long,
    val deadline: Long,
) {
    val tried = ArrayList<UpstreamId>()
    var firstByteAt: Long? = null
    var finishedAt: Long? = null
    var error: RequestError? = null

    /** True when an engine has begun to run the call. */
    var ran: Boolean = false

    /** Use of an engine in output tokens; a prompt token takes about a twelfth of an output token's share of an engine's time. */
    val cost: Double get() = outputTokens + promptTokens / PROMPT_PER_OUTPUT
    val inTime: Boolean get() = finishedAt?.let { it <= deadline } ?: false

    private companion object {
        const val PROMPT_PER_OUTPUT = 12.0
    }
}
