package io.buckthornlever.daemon.process.control

import io.buckthornlever.api.process.AccountTable
import io.buckthornlever.api.process.FailureDomain
import io.buckthornlever.api.process.InstanceId
import io.buckthornlever.api.process.ObjectKey
import io.buckthornlever.api.process.PlatformInstance
import io.buckthornlever.api.process.Pool
import io.buckthornlever.api.process.PoolName
import io.buckthornlever.api.process.PoolTable
import io.buckthornlever.api.process.RouteTable
import io.buckthornlever.api.process.ServiceKind
import io.buckthornlever.core.process.TableCodec
import io.buckthornlever.core.process.membership.MemberState
import io.buckthornlever.core.process.membership.TableRevisions
import io.buckthornlever.daemon.process.Daemon
import io.buckthornlever.daemon.process.DaemonHarness.Companion.await
import io.buckthornlever.daemon.process.Settings
import io.buckthornlever.standin.process.InstanceListStandIn
import io.buckthornlever.standin.process.ObjectStoreStandIn
import java.nio.file.Files
import java.nio.file.Path
import java.time.Duration
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull

class ControlClusterTest {
    private val directory = Files.createTempDirectory("control-test")
    private val store = ObjectStoreStandIn().start()
    private val list = InstanceListStandIn().start()
    private val daemons = LinkedHashMap<String, Daemon>()

    @AfterTest
    fun close() {
        daemons.values.toList().parallelStream().forEach { it.close() }
        list.close()
        store.close()
        Files.walk(directory).sorted(Comparator.reverseOrder()).forEach(Files::delete)
    }

    /** Guards against a change that only the watchers learn of. */
    @Test
    fun `a table change reaches all daemons and a wait for it names nobody`() {
        startThree()
        val revision = putPools("changed")
        val target = TableRevisions(pools = revision)
        assertEquals(emptyList(), daemons.getValue("e0").control.awaitEffective(target, Duration.ofSeconds(15)))
        daemons.values.forEach { assertEquals(revision, it.effectiveConfiguration.pools.revision) }
    }

    /** Guards against tables that go back or get lost when no instance of the first generation is left and the store is down. */
    @Test
    fun `the tables survive a store outage with all daemons restarted one after another`() {
        startThree()
        val revision = putPools("changed")
        await { daemons.values.all { it.effectiveConfiguration.pools.revision == revision } }
        store.faults.outage = true
        daemons.keys.toList().forEach { old ->
            stop(old)
            val fresh = start("$old-new")
            await { fresh.effectiveConfiguration.pools.revision == revision && fresh.isReady() }
            await { fresh.control.liveMembers.size == 3 }
        }
        store.faults.outage = false
        val next = putPools("after the outage")
        await { daemons.values.all { it.effectiveConfiguration.pools.revision == next } }
    }

    /** Guards against a stopped instance that the others go on using, and against a lagging instance that a wait does not name. */
    @Test
    fun `a stopped daemon is marked left and a killed one dead`() {
        startThree()
        stop("e2")
        await { stateAt("e0", "e2") == MemberState.LEFT && stateAt("e1", "e2") == MemberState.LEFT }
        daemons.getValue("e1").control.close()
        val lagging = daemons.getValue("e0").control.awaitEffective(TableRevisions(pools = putPools("changed")), Duration.ofSeconds(2))
        assertEquals(listOf(InstanceId("e1")), lagging)
        await { stateAt("e0", "e1") == MemberState.DEAD }
    }

    /** Guards against two holders of the control lease and against a lease that nobody takes over. */
    @Test
    fun `one daemon holds the control lease and another takes it over`() {
        startThree()
        await { holders().size == 1 }
        val first = holders().single()
        val fencing = assertNotNull(daemons.getValue(first).control.permit(Daemon.CONTROL_LEASE, honoursFencing = true)).fencing
        assertNull(daemons.getValue(first).control.permit(Daemon.CONTROL_LEASE, honoursFencing = false))
        stop(first)
        await { holders().size == 1 }
        val next = daemons.getValue(holders().single()).control.permit(Daemon.CONTROL_LEASE, honoursFencing = true)
        assertEquals(true, assertNotNull(next).fencing > fencing)
    }

    private fun holders(): List<String> = daemons.filterValues { it.control.permit(Daemon.CONTROL_LEASE, true) != null }.keys.toList()

    private fun stateAt(observer: String, member: String): MemberState? =
        daemons.getValue(observer).control.snapshot()?.members?.firstOrNull { it.address.id.value == member }?.state

    private fun startThree() {
        store.put(ObjectKey.ACCOUNTS.value, TableCodec.encode(AccountTable()))
        store.put(ObjectKey.ROUTES.value, TableCodec.encode(RouteTable()))
        putPools("first")
        repeat(3) { start("e$it") }
        await { daemons.values.all { it.control.liveMembers.size == 3 && it.isReady() } }
    }

    private fun putPools(name: String): Long {
        store.put(ObjectKey.POOLS.value, TableCodec.encode(PoolTable(pools = listOf(Pool(PoolName(name), ServiceKind.PLAIN)))))
        return assertNotNull(store.version(ObjectKey.POOLS.value))
    }

    private fun start(id: String): Daemon {
        val daemon = Daemon(settings(id))
        daemon.start()
        list.put(PlatformInstance(InstanceId(id), "127.0.0.1", daemon.peerPort, domain(id), "entry"))
        daemons[id] = daemon
        return daemon
    }

    private fun stop(id: String) {
        daemons.remove(id)?.close()
        list.remove(id)
    }

    private fun domain(id: String) = FailureDomain("zone-${id[1]}")

    private fun settings(id: String): Settings =
        Settings(
            site = "test",
            instance = Settings.InstanceSettings(InstanceId(id), domain(id)),
            listen = Settings.ListenSettings(),
            platform = Settings.PlatformSettings(store.url, list.url),
            keys = Settings.KeySettings(file("token", "operator-token"), file("peer", "0123456789abcdef0123456789abcdef")),
        )

    private fun file(name: String, text: String): String = path(name).also { if (!Files.exists(it)) Files.writeString(it, text) }.toString()

    private fun path(name: String): Path = directory.resolve(name)
}
