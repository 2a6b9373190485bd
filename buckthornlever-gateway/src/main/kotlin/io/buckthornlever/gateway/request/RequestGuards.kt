package io.buckthornlever.gateway.request

/** What may keep a request from being sent besides the state of the upstreams. */
internal class RequestGuards(
    val poison: PoisonGuard,
    val overload: OverloadControl,
)
