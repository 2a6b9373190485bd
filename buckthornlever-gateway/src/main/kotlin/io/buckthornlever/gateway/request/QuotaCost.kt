package io.buckthornlever.gateway.request

import io.buckthornlever.api.serving.QuotaUnit
import io.buckthornlever.api.serving.ServedAccount

/** Costs of requests in units of quotas. */
internal object QuotaCost {
    /** Units of the quota of [account] that the request with [head] uses. */
    fun of(
        account: ServedAccount,
        head: CallerRequestHead,
    ): Double {
        if (account.unit == QuotaUnit.REQUESTS) return 1.0
        val stated = head.promptTokens.toLong() + head.maxOutputTokens
        return (if (stated > 0) stated else account.plainTokens).toDouble()
    }
}
