package io.buckthornlever.gateway.connection

import io.buckthornlever.api.process.SystemClock
import io.buckthornlever.core.serving.CallerMemoryBudget
import io.buckthornlever.core.serving.ConnectionBudget
import io.netty.channel.EventLoop

/** Limits for listeners in tests that are not about limits. */
internal object TestLimits {
    private const val BYTES = 64L * 1_024 * 1_024
    private const val CONNECTIONS = 1_000

    fun on(
        loop: EventLoop,
        bytes: Long = BYTES,
        connections: Int = CONNECTIONS,
    ): ListenerLimits = ListenerLimits(CallerMemory(CallerMemoryBudget(bytes), loop, SystemClock), ConnectionBudget(connections))
}
