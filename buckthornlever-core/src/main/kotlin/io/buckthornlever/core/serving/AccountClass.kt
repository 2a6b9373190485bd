package io.buckthornlever.core.serving

import io.buckthornlever.api.process.AccountId

/** Requests of one client account with one effective [priority] to one service; they share room with those of other accounts. */
public data class AccountClass(
    val service: String,
    val priority: Int,
    val account: AccountId,
)
