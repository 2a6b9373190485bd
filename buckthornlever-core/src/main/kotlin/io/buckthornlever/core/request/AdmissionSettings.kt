package io.buckthornlever.core.request

/**
 * Settings of the admission queue.
 *
 * @property maxWaiting maximum number of waiting requests over all client accounts
 * @property maxWaitingPerAccount maximum number of waiting requests of one client account
 * @property interactiveLead cost by which interactive work of one client account may run ahead of another account's long work
 */
public data class AdmissionSettings(
    val maxWaiting: Int = 10_000,
    val maxWaitingPerAccount: Int = 1_000,
    val interactiveLead: Double = 4_000.0,
)
