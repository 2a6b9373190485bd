package io.buckthornlever.gateway.process

import kotlinx.serialization.Serializable

/**
 * What an instance tells its peers. Totals and windows are cumulative, so that a lost datagram costs nothing once the next one
 * arrives.
 *
 * @property incarnation start of the process in milliseconds since the epoch
 * @property charged units charged since the start, by client account
 * @property windows requests that began to run, by accounting window and client account
 * @property breaks contents that broke off runs, with the number of runs
 * @property demand prompt tokens asked since the start, by service
 * @property fencing fencing number of the duty lease while the sender holds it
 */
@Serializable
internal data class PeerState(
    val instance: String,
    val incarnation: Long,
    val charged: Map<String, Double>,
    val windows: Map<Long, Map<String, Long>>,
    val breaks: Map<Long, Int>,
    val demand: Map<String, Double>,
    val fencing: Long?,
)
