package io.buckthornlever.core.serving

import io.buckthornlever.api.process.AccountId

/** Outcome of a charge to quota shares. */
public sealed interface QuotaCharge {
    /**
     * [cost] units of [account] were charged at the monotonic time [nanos].
     *
     * @property priority priority of the request for which they were charged
     * @property isLent true if another instance spends them, which may take [QuotaBounds.CREDIT_VALIDITY]
     */
    public data class Granted(
        val account: AccountId,
        val cost: Double,
        val nanos: Long,
        val priority: Int = 0,
        val isLent: Boolean = false,
    ) : QuotaCharge

    /** The charge would fit if the ceiling of the shares were raised. */
    public data object AboveCeiling : QuotaCharge

    /** The shares are exhausted, or this instance holds none that it may grant from. */
    public data object Exhausted : QuotaCharge
}
