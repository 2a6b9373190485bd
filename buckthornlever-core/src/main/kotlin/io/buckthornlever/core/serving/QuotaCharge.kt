package io.buckthornlever.core.serving

import io.buckthornlever.api.process.AccountId

/** Outcome of a charge to shares of a quota. */
public sealed interface QuotaCharge {
    /** [cost] units of [account] were charged at the monotonic time [nanos]. */
    public data class Granted(
        val account: AccountId,
        val cost: Double,
        val nanos: Long,
    ) : QuotaCharge

    /** There would be room if the ceiling of the shares were raised. */
    public data object AboveCeiling : QuotaCharge

    /** The shares are used up, or none are held. */
    public data object Exhausted : QuotaCharge
}
