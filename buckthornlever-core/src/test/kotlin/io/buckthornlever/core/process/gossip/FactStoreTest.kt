package io.buckthornlever.core.process.gossip

import io.buckthornlever.api.connection.UpstreamId
import io.buckthornlever.api.process.InstanceId
import io.buckthornlever.api.process.PoolName
import io.buckthornlever.api.process.RouteName
import io.buckthornlever.api.version.VersionLabel
import io.buckthornlever.core.process.membership.Moment
import io.buckthornlever.core.process.membership.TableRevisions
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull

class FactStoreTest {
    private val start = Moment(0, 0)

    /** Guards against a join that loses counts or depends on the order of arrival. */
    @Property(seed = "21", tries = 200)
    fun `facts merge the same in any order and number`(
        @ForAll seed: Long,
    ) {
        val random = Random(seed)
        val facts = List(30) { fact(random) }
        assertEquals(merged(facts), merged((facts + facts).shuffled(random)))
    }

    @Test
    fun `an expired fact is neither kept nor accepted again`() {
        val store = FactStore()
        val stop = Fact.VersionStop(PoolName("p"), VersionLabel("v2"), 100)
        store.merge(stop, start)
        store.expire(Moment(0, 100))
        assertEquals(0, store.size)
        assertNull(store.merge(stop, Moment(0, 100)))
    }

    @Test
    fun `a wrong clock cannot keep a fact for longer than its kind allows`() {
        val store = FactStore()
        store.merge(Fact.ColdUpstream(UpstreamId("u"), 0, Long.MAX_VALUE), start)
        assertEquals(FactKind.COLD_UPSTREAM.maxLifetime.toMillis(), store.all().single().expiresAtMillis)
    }

    @Test
    fun `a flood of facts does not exceed the capacity`() {
        val store = FactStore(capacity = 10)
        repeat(100) { store.merge(Fact.VersionStop(PoolName("p$it"), VersionLabel("v"), 1_000L + it), start) }
        assertEquals((90..99).map { 1_000L + it }, store.all().map { it.expiresAtMillis }.sorted())
    }

    @Test
    fun `news is sent a bounded number of times and the least sent comes first`() {
        val queue = RetransmitQueue<String, String> { 10 }
        queue.put("a", "a1")
        assertEquals(listOf("a1"), queue.take(20, 3))
        queue.put("b", "b1")
        queue.put("c", "c1")
        assertEquals(listOf("b1", "c1"), queue.take(20, 3))
        val rest = List(4) { queue.take(20, 3) }.flatten()
        assertEquals(mapOf("a1" to 2, "b1" to 2, "c1" to 2), rest.groupingBy { it }.eachCount())
        assertEquals(0, queue.size)
    }

    private fun fact(random: Random): Fact {
        val expiry = 1_000L + random.nextLong(1_000)
        val instance = InstanceId("i${random.nextInt(3)}")
        return when (random.nextInt(5)) {
            0 -> Fact.VersionStop(PoolName("p${random.nextInt(2)}"), VersionLabel("v"), expiry)
            1 -> Fact.CrashFingerprint("f${random.nextInt(2)}", instance, random.nextLong(5), expiry)
            2 -> Fact.ColdUpstream(UpstreamId("u${random.nextInt(2)}"), random.nextLong(9), expiry)
            3 -> Fact.ConfigurationRevisions(instance, TableRevisions(random.nextLong(9), random.nextLong(9), 0), expiry)
            else -> Fact.Evidence(instance, RouteName("r"), VersionLabel("v"), List(random.nextInt(4)) { random.nextLong(9) }, expiry)
        }
    }

    private fun merged(facts: List<Fact>): Set<Fact> {
        val store = FactStore()
        facts.forEach { store.merge(it, start) }
        return store.all().toSet()
    }
}
