package io.buckthornlever.daemon.version

import io.buckthornlever.api.version.MoveState
import io.buckthornlever.api.version.MoveStatus
import io.buckthornlever.daemon.process.DaemonHarness.Companion.await
import io.buckthornlever.standin.version.VersionFault
import kotlinx.serialization.json.Json
import java.time.Duration
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class MoveClusterTest {
    private val cluster = MoveCluster()

    @AfterTest
    fun close() = cluster.close()

    private fun status(pool: String): MoveStatus? =
        cluster.store.value("status/moves/$pool")?.let { Json.decodeFromString(MoveStatus.serializer(), it) }

    /** Guards against a version move that never finishes, and against an instance that keeps sending traffic to a bad version. */
    @Test
    fun `a good version finishes in time while a bad one is rolled back and gets no more requests`() {
        cluster.start()
        cluster.services.getValue(MoveCluster.BAD).drop(2).forEach { it.faults.versions.add(VersionFault("v2", failureStatus = 500)) }
        cluster.putPools(Duration.ofSeconds(16))
        await { status(MoveCluster.BAD)?.state == MoveState.ROLLED_BACK }
        await { status(MoveCluster.GOOD)?.state == MoveState.DONE }
        val after = cluster.services.getValue(MoveCluster.BAD).drop(2).map { it.records.received }
        val old = cluster.services.getValue(MoveCluster.BAD).take(2).sumOf { it.records.received }
        await { cluster.services.getValue(MoveCluster.BAD).take(2).sumOf { it.records.received } > old + 200 }
        assertEquals(after, cluster.services.getValue(MoveCluster.BAD).drop(2).map { it.records.received })
        assertTrue(cluster.onNew(MoveCluster.GOOD) > 0)
    }

    /** Guards against new requests to a failure domain that was taken out, and against a domain that gets none after its return. */
    @Test
    fun `a domain taken out gets no new work and gets some again after its return`() {
        cluster.start()
        await { cluster.inDomain(1) > 50 }
        cluster.putPools(null, listOf(MoveCluster.DOMAINS[1]))
        await { isDomainIdle() }
        val taken = cluster.inDomain(1)
        val other = cluster.inDomain(0)
        await { cluster.inDomain(0) > other + 300 }
        assertEquals(taken, cluster.inDomain(1))
        cluster.putPools(null)
        await { cluster.inDomain(1) > taken + 50 }
    }

    /** True when domain 1 received no request while domain 0 received more than 100. */
    private fun isDomainIdle(): Boolean {
        val before = cluster.inDomain(1)
        val other = cluster.inDomain(0)
        await { cluster.inDomain(0) > other + 100 }
        return cluster.inDomain(1) == before
    }
}
