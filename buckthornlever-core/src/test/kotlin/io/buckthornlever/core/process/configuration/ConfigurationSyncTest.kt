package io.buckthornlever.core.process.configuration

import io.buckthornlever.api.process.Configuration
import io.buckthornlever.api.process.ObjectVersion
import io.buckthornlever.api.process.Pool
import io.buckthornlever.api.process.PoolTable
import io.buckthornlever.api.process.RouteTable
import io.buckthornlever.core.process.membership.Cluster
import io.buckthornlever.core.process.membership.MemberAddress
import io.buckthornlever.core.process.membership.Moment
import io.buckthornlever.core.process.membership.TableRevisions
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class ConfigurationSyncTest {
    private val members = List(9) { Cluster.address(it) }
    private val start = Moment(0, 0)

    /** Guards against a return to an older table after a stale watch response, a late delta or concurrent changes by operators. */
    @Property(seed = "41", tries = 200)
    fun `no order of offers makes a revision fall`(
        @ForAll seed: Long,
    ) {
        val random = Random(seed)
        val sync = sync()
        repeat(40) {
            val before = sync.revisions
            val revision = 1 + random.nextLong(20)
            val tables = Tables.configuration(revision, pools = listOf(Tables.pool(if (random.nextInt(4) == 0) "q" else "p")))
            val part = when (random.nextInt(3)) {
                0 -> tables
                1 -> Configuration(routes = tables.routes)
                else -> Configuration(pools = tables.pools)
            }
            sync.handle(ConfigurationEvent.StoreAnswered(ObjectVersion(revision), part), start)
            assertFalse(sync.revisions.isBehind(before))
            assertEquals(emptyList(), ConfigurationValidator().check(sync.configuration))
        }
    }

    /** Guards against a delta whose result differs from the table of the sender. */
    @Property(seed = "42", tries = 200)
    fun `a delta from any earlier revision leads to the sender's tables`(
        @ForAll seed: Long,
    ) {
        val random = Random(seed)
        val sender = sync()
        val receiver = sync()
        repeat(12) { step ->
            sender.offer(Configuration(pools = PoolTable(step + 1L, randomPools(random))))
            if (random.nextBoolean()) pull(sender, receiver)
        }
        pull(sender, receiver)
        assertEquals(sender.configuration, receiver.configuration)
    }

    @Test
    fun `a change of one entry of a large table is sent alone`() {
        val pools = List(100) { Tables.pool("p$it") }
        val sender = sync()
        sender.offer(Configuration(pools = PoolTable(1, pools)))
        sender.offer(Configuration(pools = PoolTable(2, pools.map { if (it.name.value == "p7") Tables.pool("p7", 2.0) else it })))
        assertEquals(listOf("p7"), sender.deltaSince(TableRevisions(pools = 1)).pools?.changed?.map { it.name.value })
    }

    @Test
    fun `a delta that does not fit is followed by a pull of whole tables`() {
        val sync = sync()
        sync.offer(Tables.configuration(1))
        val wrong = ConfigurationDelta(pools = EntryDelta(1, 3, emptyList(), emptyList(), digest = 5))
        sync.handle(ConfigurationEvent.DeltaReceived(members[1].id, wrong), start)
        assertEquals(1, sync.revisions.pools)
        val commands = sync.handle(ConfigurationEvent.RevisionsHeard(members[1], TableRevisions(pools = 3)), start)
        assertEquals(listOf(ConfigurationCommand.PullTables(members[1], TableRevisions())), commands)
    }

    @Test
    fun `an invalid table is refused whole and reported once`() {
        val sync = sync()
        sync.offer(Tables.configuration(1))
        val invalid = Configuration(pools = PoolTable(2, listOf(Tables.pool("other"))))
        val refusals = List(2) { sync.offer(invalid) }.map { commands -> commands.count { it is ConfigurationCommand.Refused } }
        assertEquals(listOf(1, 0), refusals)
        assertEquals(Tables.configuration(1), sync.configuration)
        assertEquals(2, sync.refusedRevisions.pools)
    }

    @Test
    fun `a route table that arrives before its pool table takes effect with it`() {
        val sync = sync()
        sync.offer(Tables.configuration(1))
        sync.offer(Configuration(routes = RouteTable(3, listOf(Tables.route("r", "q")))))
        assertEquals(1, sync.revisions.routes)
        sync.offer(Configuration(pools = PoolTable(2, listOf(Tables.pool("q")))))
        assertEquals(TableRevisions(3, 2, 1), sync.revisions)
    }

    @Test
    fun `a starting instance does not take half of a pair that is invalid together`() {
        val sync = sync()
        sync.offer(Tables.configuration(3, pools = listOf(Tables.pool("other"))))
        assertEquals(TableRevisions(), sync.revisions.copy(accounts = 0))
        sync.offer(Tables.configuration(2))
        assertEquals(TableRevisions(3, 2, 3), sync.revisions.copy(accounts = 3))
    }

    @Test
    fun `two instances of each failure domain watch and the others call the store not at all`() {
        val syncs = members.map { sync(it) }
        val commands = syncs.map { sync ->
            sync.offer(Tables.configuration(1))
            sync.handle(ConfigurationEvent.LiveChanged(members), start) + sync.handle(ConfigurationEvent.Tick, Moment(5_000_000_000, 0))
        }
        assertEquals(6, commands.count { it.contains(ConfigurationCommand.ListTables) })
        assertEquals(
            setOf(2),
            members.zip(syncs).filter {
                it.second.isWatcher
            }.groupBy { it.first.failureDomain }.map { it.value.size }.toSet(),
        )
    }

    @Test
    fun `store failures are retried with growing pauses and the store is listed after them`() {
        val sync = sync()
        sync.handle(ConfigurationEvent.LiveChanged(listOf(members[0])), start)
        var calls = 0
        repeat(600) { tenth ->
            val moment = Moment(tenth * 100_000_000L, 0)
            if (sync.handle(ConfigurationEvent.Tick, moment).isNotEmpty() || tenth == 0) {
                calls++
                sync.handle(ConfigurationEvent.StoreFailed, moment)
            }
        }
        assertTrue(calls in 8..18, "store calls in a minute: $calls")
        assertTrue(sync.storeIsDown)
        val later = Moment(100_000_000_000, 0)
        assertEquals(listOf(ConfigurationCommand.ListTables), sync.handle(ConfigurationEvent.Tick, later))
        assertEquals(
            listOf(ConfigurationCommand.WatchTables(ObjectVersion(9))),
            sync.handle(ConfigurationEvent.StoreAnswered(ObjectVersion(9), Configuration()), later),
        )
    }

    private fun sync(self: MemberAddress = members[0]) = ConfigurationSync(
        self,
        ConfigurationSettings(),
        ConfigurationValidator(),
        Random(1),
    )

    private fun ConfigurationSync.offer(tables: Configuration): List<ConfigurationCommand> =
        handle(ConfigurationEvent.Offered(tables, ConfigurationSource.STORE), start)

    private fun pull(sender: ConfigurationSync, receiver: ConfigurationSync) {
        repeat(2) {
            receiver.handle(ConfigurationEvent.RevisionsHeard(members[1], sender.revisions), start)
                .filterIsInstance<ConfigurationCommand.PullTables>()
                .forEach { receiver.handle(ConfigurationEvent.DeltaReceived(members[1].id, sender.deltaSince(it.since)), start) }
        }
    }

    private fun randomPools(random: Random): List<Pool> =
        (0 until 8).filter { random.nextInt(3) > 0 }.map { Tables.pool("p$it", random.nextInt(3).toDouble()) }.shuffled(random)
}
