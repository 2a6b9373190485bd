package io.buckthornlever.core.version

import io.buckthornlever.api.process.PoolName
import io.buckthornlever.api.process.RouteName
import io.buckthornlever.api.version.VersionLabel
import java.time.Duration

/**
 * Result of one attempt on an upstream, as evidence about its version.
 *
 * @property failed true for server errors, broken connections and progress timeouts; refusals for lack of capacity are not recorded
 * @property latency time to first token for streams, time to the whole response otherwise
 * @property underLoad true when the upstream had at least half of its capacity in use at dispatch
 * @property cold true when the upstream was cold; its latency is then ignored
 */
public data class Outcome(
    val pool: PoolName,
    val route: RouteName,
    val version: VersionLabel,
    val failed: Boolean,
    val latency: Duration,
    val underLoad: Boolean = false,
    val cold: Boolean = false,
)
