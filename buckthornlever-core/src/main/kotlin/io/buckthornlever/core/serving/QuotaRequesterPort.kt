package io.buckthornlever.core.serving

import io.buckthornlever.api.serving.ServedAccount

/** What a [QuotaRequester] has others do. */
public interface QuotaRequesterPort {
    /** Sends [ask] to [holder]; returns false if it was not sent, for example because the instance is unknown. */
    public fun ask(
        holder: String,
        ask: CreditAsk,
    ): Boolean

    /** Tells [holder] that [total] units of the credit granted for the question [id] were not spent; includes earlier returns. */
    public fun giveBack(
        holder: String,
        id: Long,
        total: Double,
    )

    /** Requests a ceiling under which [cost] units more can be charged to this instance's own shares of [account]. */
    public fun raiseCeiling(
        account: ServedAccount,
        cost: Double,
    )
}
