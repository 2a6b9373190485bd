package io.buckthornlever.api.version

import kotlinx.serialization.Serializable

/**
 * A planned move of a pool's traffic from one version to another.
 *
 * @property startAt when the new version may receive its first requests, as ISO-8601 instant
 * @property dueAt when the new version has to receive all traffic, as ISO-8601 instant
 * @property badSharePercent largest share of traffic for the new version until it has proved healthy, in percent
 */
@Serializable
public data class VersionMove(
    val from: VersionLabel,
    val to: VersionLabel,
    val startAt: String,
    val dueAt: String,
    val badSharePercent: Int = DEFAULT_BAD_SHARE_PERCENT,
) {
    public companion object {
        /** Default of [badSharePercent]. */
        public const val DEFAULT_BAD_SHARE_PERCENT: Int = 5
    }
}
