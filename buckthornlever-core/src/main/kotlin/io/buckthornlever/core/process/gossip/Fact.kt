package io.buckthornlever.core.process.gossip

import io.buckthornlever.api.connection.UpstreamId
import io.buckthornlever.api.process.InstanceId
import io.buckthornlever.api.process.PoolName
import io.buckthornlever.api.process.RouteName
import io.buckthornlever.api.version.VersionLabel
import io.buckthornlever.core.process.membership.TableRevisions
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborArray

/**
 * A statement that entry instances share by gossip and that only grows (a state-based CRDT). [join] is commutative, associative and
 * idempotent, so that copies may arrive in any order and any number of times.
 */
@Serializable
public sealed interface Fact {
    /** Wall-clock time after which the fact is dropped, in milliseconds since the epoch. */
    public val expiresAtMillis: Long

    /** Facts with equal keys are joined. */
    public val key: FactKey

    /** Least upper bound of this fact and [other]; both have the same [key]. */
    public fun join(other: Fact): Fact

    /** Copy that expires at [millis]. */
    public fun expiringAt(millis: Long): Fact

    /** Traffic to [version] in [pool] is stopped. */
    @Serializable
    @SerialName("v")
    @CborArray
    public data class VersionStop(
        val pool: PoolName,
        val version: VersionLabel,
        override val expiresAtMillis: Long,
    ) : Fact {
        override val key: FactKey get() = FactKey(FactKind.VERSION_STOP, listOf(pool.value, version.value))

        override fun join(other: Fact): Fact = expiringAt(maxOf(expiresAtMillis, other.expiresAtMillis))

        override fun expiringAt(millis: Long): Fact = copy(expiresAtMillis = millis)
    }

    /** [instance] has counted [deaths] deaths of upstreams that were running a request with [fingerprint]. */
    @Serializable
    @SerialName("c")
    @CborArray
    public data class CrashFingerprint(
        val fingerprint: String,
        val instance: InstanceId,
        val deaths: Long,
        override val expiresAtMillis: Long,
    ) : Fact {
        override val key: FactKey get() = FactKey(FactKind.CRASH_FINGERPRINT, listOf(fingerprint, instance.value))

        override fun join(other: Fact): Fact {
            other as CrashFingerprint
            return copy(deaths = maxOf(deaths, other.deaths), expiresAtMillis = maxOf(expiresAtMillis, other.expiresAtMillis))
        }

        override fun expiringAt(millis: Long): Fact = copy(expiresAtMillis = millis)
    }

    /** [upstream] has been cold since [sinceMillis], in milliseconds since the epoch; a later start replaces an earlier one. */
    @Serializable
    @SerialName("u")
    @CborArray
    public data class ColdUpstream(
        val upstream: UpstreamId,
        val sinceMillis: Long,
        override val expiresAtMillis: Long,
    ) : Fact {
        override val key: FactKey get() = FactKey(FactKind.COLD_UPSTREAM, listOf(upstream.value))

        override fun join(other: Fact): Fact {
            other as ColdUpstream
            return copy(
                sinceMillis = maxOf(sinceMillis, other.sinceMillis),
                expiresAtMillis = maxOf(expiresAtMillis, other.expiresAtMillis),
            )
        }

        override fun expiringAt(millis: Long): Fact = copy(expiresAtMillis = millis)
    }

    /** Tables with [revisions] are in effect on [instance]. */
    @Serializable
    @SerialName("r")
    @CborArray
    public data class ConfigurationRevisions(
        val instance: InstanceId,
        val revisions: TableRevisions,
        override val expiresAtMillis: Long,
    ) : Fact {
        override val key: FactKey get() = FactKey(FactKind.CONFIGURATION_REVISIONS, listOf(instance.value))

        override fun join(other: Fact): Fact {
            other as ConfigurationRevisions
            return copy(revisions = revisions.merge(other.revisions), expiresAtMillis = maxOf(expiresAtMillis, other.expiresAtMillis))
        }

        override fun expiringAt(millis: Long): Fact = copy(expiresAtMillis = millis)
    }

    /**
     * Counters of [instance] for one version on one route since its process started.
     *
     * @property counters counts that never decrease; the publisher of the evidence defines the meaning of each position
     */
    @Serializable
    @SerialName("e")
    @CborArray
    public data class Evidence(
        val instance: InstanceId,
        val route: RouteName,
        val version: VersionLabel,
        val counters: List<Long>,
        override val expiresAtMillis: Long,
    ) : Fact {
        override val key: FactKey get() = FactKey(FactKind.EVIDENCE, listOf(instance.value, route.value, version.value))

        override fun join(other: Fact): Fact {
            other as Evidence
            val size = maxOf(counters.size, other.counters.size)
            val joined = List(size) { maxOf(counters.getOrElse(it) { 0 }, other.counters.getOrElse(it) { 0 }) }
            return copy(counters = joined, expiresAtMillis = maxOf(expiresAtMillis, other.expiresAtMillis))
        }

        override fun expiringAt(millis: Long): Fact = copy(expiresAtMillis = millis)
    }

    /** Upper estimate of the encoded size, in bytes. */
    public fun estimatedBytes(): Int =
        FIXED_BYTES + key.parts.sumOf { it.length + 2 } + if (this is Evidence) counters.size * LONG_BYTES else 0

    /** Holds the serializer. */
    public companion object {
        private const val FIXED_BYTES = 48
        private const val LONG_BYTES = 9
    }
}
