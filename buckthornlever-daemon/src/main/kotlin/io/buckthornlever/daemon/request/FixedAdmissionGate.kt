package io.buckthornlever.daemon.request

import io.buckthornlever.api.process.ClientAccount
import io.buckthornlever.api.request.WorkClass
import java.util.concurrent.Semaphore

/** Admits a fixed number of concurrent requests, regardless of client account and work class. */
internal class FixedAdmissionGate(
    limit: Int,
) : AdmissionGate {
    private val permits = Semaphore(limit)

    override fun tryAcquire(
        account: ClientAccount,
        workClass: WorkClass,
    ): AutoCloseable? = if (permits.tryAcquire()) AutoCloseable { permits.release() } else null
}
