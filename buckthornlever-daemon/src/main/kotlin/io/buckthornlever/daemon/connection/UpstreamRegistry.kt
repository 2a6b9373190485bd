package io.buckthornlever.daemon.connection

import io.buckthornlever.api.connection.UpstreamId
import io.buckthornlever.api.process.UpstreamSpec
import io.buckthornlever.core.connection.UpstreamStatus
import io.buckthornlever.core.connection.UpstreamStatusView
import java.util.concurrent.ConcurrentHashMap

/** States of all upstreams in the pool table. */
internal class UpstreamRegistry : UpstreamStatusView {
    private val states = ConcurrentHashMap<UpstreamId, UpstreamState>()

    fun stateOf(upstream: UpstreamSpec): UpstreamState = states.computeIfAbsent(upstream.id) { UpstreamState() }

    override fun statusOf(upstream: UpstreamSpec): UpstreamStatus = stateOf(upstream).status(upstream)

    /** Removes the states of all upstreams but those in [known]. */
    fun retainOnly(known: Set<UpstreamId>) {
        states.keys.retainAll(known)
    }
}
