package io.buckthornlever.core.serving

/** [amount] units of [credit] that one request has spent. */
public data class CreditPart(
    val credit: Credit,
    val amount: Double,
)
