package io.buckthornlever.daemon.process

import io.buckthornlever.api.process.FailureDomain
import io.buckthornlever.api.process.InstanceId
import java.time.Duration

/**
 * Settings of one daemon, read from a JSON file.
 *
 * @property fallbackConfigurationFile file with a [io.buckthornlever.api.process.Configuration] that is in effect until the
 * store or a peer provides a newer one; null for none
 */
public data class Settings(
    val site: String,
    val instance: InstanceSettings,
    val listen: ListenSettings,
    val platform: PlatformSettings,
    val keys: KeySettings,
    val limits: LimitSettings = LimitSettings(),
    val shutdownGrace: Duration = DEFAULT_SHUTDOWN_GRACE,
    val fallbackConfigurationFile: String? = null,
) {
    /** Id and failure domain of the instance. */
    public data class InstanceSettings(
        val id: InstanceId,
        val failureDomain: FailureDomain,
    )

    /** Listen address and ports of the daemon's servers; port 0 picks a free one. */
    public data class ListenSettings(
        val address: String = "127.0.0.1",
        val callerPort: Int = 0,
        val operatorPort: Int = 0,
        val peerPort: Int = 0,
    )

    /** Base URLs of the platform's services, without a trailing slash. */
    public data class PlatformSettings(
        val objectStoreUrl: String,
        val instanceListUrl: String,
        val cloudUrl: String? = null,
        val weightStoreUrl: String? = null,
    )

    /** Paths of the files that hold the operator token and the peer keys; they are reloaded when they change. */
    public data class KeySettings(
        val operatorTokenFile: String,
        val peerKeyFile: String,
    )

    /** Limits that protect the instance from overload. */
    public data class LimitSettings(
        val requestThreads: Int = 256,
        val concurrentRequests: Int = 512,
        val headerBytes: Int = 16_384,
        val idleConnection: Duration = Duration.ofSeconds(30),
    )

    public companion object {
        /** Default of [shutdownGrace]. */
        public val DEFAULT_SHUTDOWN_GRACE: Duration = Duration.ofSeconds(20)
    }
}
