package io.buckthornlever.core.process

import io.buckthornlever.api.connection.UpstreamId
import io.buckthornlever.api.process.InstanceId

/** Where a request may run, as decided by [CrashGuard]. */
public sealed interface CrashAdmission {
    /** Run the request on one of [allowed], in order of preference. */
    public data class Run(
        val allowed: List<UpstreamId>,
    ) : CrashAdmission

    /** Ask [owner] for the grant of the only attempt that may run now. */
    public data class AskOwner(
        val owner: InstanceId,
    ) : CrashAdmission

    /** Another attempt with the same content is running, or recent losses are unexplained; ask again later. */
    public data object Busy : CrashAdmission

    /** No candidate is available; no attempt was granted. */
    public data object NoCandidate : CrashAdmission

    /** Refuse the request, because [lostUpstreams] upstreams have died while running its content. */
    public data class Refuse(
        val lostUpstreams: Int,
    ) : CrashAdmission
}
