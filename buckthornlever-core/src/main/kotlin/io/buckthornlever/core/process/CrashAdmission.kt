package io.buckthornlever.core.process

import io.buckthornlever.api.connection.UpstreamId
import io.buckthornlever.api.process.InstanceId

/** Where a request may run, as decided by [CrashGuard]. */
public sealed interface CrashAdmission {
    /** Run on one of [allowed], most preferred first. */
    public data class Run(
        val allowed: List<UpstreamId>,
    ) : CrashAdmission

    /** Ask [owner] for the only attempt that may run now. */
    public data class AskOwner(
        val owner: InstanceId,
    ) : CrashAdmission

    /** Another attempt of the same content is running; ask again later. */
    public data object Busy : CrashAdmission

    /** No candidate is available; no attempt was granted. */
    public data object NoCandidate : CrashAdmission

    /** Refuse the request: it has cost [lostUpstreams] upstreams. */
    public data class Refuse(
        val lostUpstreams: Int,
    ) : CrashAdmission
}
