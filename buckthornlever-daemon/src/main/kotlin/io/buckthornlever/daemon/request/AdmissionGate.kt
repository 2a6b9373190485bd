package io.buckthornlever.daemon.request

import io.buckthornlever.api.process.ClientAccount
import io.buckthornlever.api.request.WorkClass

/** Decides whether a request may start now. */
internal fun interface AdmissionGate {
    /** A permit that the request closes at its end, or null when it is refused. */
    fun tryAcquire(
        account: ClientAccount,
        workClass: WorkClass,
    ): AutoCloseable?
}
