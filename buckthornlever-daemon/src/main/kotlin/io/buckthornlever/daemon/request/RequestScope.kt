package io.buckthornlever.daemon.request

import io.buckthornlever.api.process.ClientAccount
import io.buckthornlever.api.process.Configuration
import io.buckthornlever.api.process.Route

/** Values that stay constant while one request is handled. */
internal class RequestScope(
    val exchange: CallerExchange,
    val account: ClientAccount,
    val route: Route,
    val configuration: Configuration,
    val deadlineNanos: Long,
)
