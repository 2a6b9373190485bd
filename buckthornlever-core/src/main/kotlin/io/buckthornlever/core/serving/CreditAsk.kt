package io.buckthornlever.core.serving

import io.buckthornlever.api.process.AccountId

/**
 * Question of an instance to a quota holder for units that it may spend within [QuotaBounds.CREDIT_VALIDITY] of sending it.
 *
 * @property id unique within the asking process
 * @property cost units that a request waits for; 0 asks only whether the holder answers and what it has
 * @property ahead further units for requests that are waiting or expected soon
 * @property priority priority of the request; 0 is the most urgent
 * @property partial true if fewer units than [cost] are of use, together with those of other holders
 * @property raise true if no holder that answers has room below its ceiling
 */
public data class CreditAsk(
    val id: Long,
    val account: AccountId,
    val cost: Double,
    val ahead: Double,
    val priority: Int,
    val raise: Boolean,
    val partial: Boolean = false,
)
