package io.buckthornlever.daemon.process

import io.buckthornlever.api.process.Configuration
import io.buckthornlever.daemon.process.control.ControlDump
import kotlinx.serialization.Serializable

/** State of one daemon for operators; contains no secrets. */
@Serializable
internal data class StateDump(
    val instance: String,
    val failureDomain: String,
    val site: String,
    val version: String,
    val ready: Boolean,
    val openRequests: Int,
    val routesRevision: Long,
    val poolsRevision: Long,
    val accountsRevision: Long,
    val domainsOut: List<String>,
    val control: ControlDump?,
    val upstreams: List<UpstreamDump>,
) {
    /** State of one upstream as seen by this daemon. */
    @Serializable
    internal data class UpstreamDump(
        val id: String,
        val failureDomain: String,
        val version: String,
        val inFlight: Int,
        val reportedLoad: Int,
        val capacity: Int,
        val cold: Boolean,
        val leaving: Boolean,
        val healthy: Boolean,
    )
}
