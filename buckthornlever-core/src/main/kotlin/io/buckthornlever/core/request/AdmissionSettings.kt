package io.buckthornlever.core.request

/**
 * Settings of the admission queue.
 *
 * @property maxWaiting requests that may wait, over all client accounts
 * @property maxWaitingPerAccount requests of one client account that may wait
 * @property interactiveLead how much cost interactive work of one account may get ahead of another account's long work
 */
public data class AdmissionSettings(
    val maxWaiting: Int = 10_000,
    val maxWaitingPerAccount: Int = 1_000,
    val interactiveLead: Double = 4_000.0,
)
