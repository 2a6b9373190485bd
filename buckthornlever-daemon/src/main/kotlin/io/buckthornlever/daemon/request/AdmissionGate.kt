package io.buckthornlever.daemon.request

import io.buckthornlever.api.process.ClientAccount
import io.buckthornlever.api.request.WorkClass

/** Decides whether a request may start now. */
internal fun interface AdmissionGate {
    /** Returns a permit that the request closes when it ends, or null when the request is refused. */
    fun tryAcquire(
        account: ClientAccount,
        workClass: WorkClass,
    ): AutoCloseable?
}
