package io.buckthornlever.core.serving

import io.buckthornlever.api.process.AccountId

/** Outcome of a charge to quota shares. */
public sealed interface QuotaCharge {
    /** [cost] units of [account] were charged at the monotonic time [nanos]. */
    public data class Granted(
        val account: AccountId,
        val cost: Double,
        val nanos: Long,
    ) : QuotaCharge

    /** The charge would fit if the ceiling of the shares were raised. */
    public data object AboveCeiling : QuotaCharge

    /** The shares are exhausted, or this instance holds none that it may grant from. */
    public data object Exhausted : QuotaCharge
}
