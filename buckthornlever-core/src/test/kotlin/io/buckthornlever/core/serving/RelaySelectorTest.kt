package io.buckthornlever.core.serving

import io.buckthornlever.api.process.FailureDomain
import io.buckthornlever.api.serving.InstanceRecord
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotEquals

/** Guards against cycles of instances that follow each other, and against calls to the store that grow with the fleet. */
class RelaySelectorTest {
    @Test
    fun `a small site has one relay, which follows the store`() {
        val fleet = fleet(9)
        assertEquals(1, fleet.count { RelaySelector(it).choose(fleet, 0) == null })
        assertEquals(1, fleet.mapNotNull { RelaySelector(it).choose(fleet, 0) }.toSet().size)
    }

    @Test
    fun `a large site has one relay for each failure domain`() {
        val fleet = fleet(72)
        assertEquals(3, fleet.count { RelaySelector(it).choose(fleet, 0) == null })
        for (member in fleet) assertEquals(member.domain, RelaySelector(member).choose(fleet, 0)?.domain ?: member.domain)
    }

    @Test
    fun `the instance with the fastest link is chosen`() {
        val fleet = fleet(8) + InstanceRecord("wide", "h", 1, FailureDomain("a"), 200.0)
        assertEquals("wide", RelaySelector(fleet.first()).choose(fleet, 0)?.name)
    }

    @Test
    fun `a relay that failed is left out for some time`() {
        val fleet = fleet(9)
        val follower = fleet.first { RelaySelector(it).choose(fleet, 0) != null }
        val selector = RelaySelector(follower)
        val first = checkNotNull(selector.choose(fleet, 0))
        selector.avoid(first.name, 0)
        assertNotEquals(first, selector.choose(fleet, 1))
        assertEquals(first, selector.choose(fleet, 11_000_000_000))
    }

    @Test
    fun `the next relay of the order takes the place of one that has just failed`() {
        val fleet = fleet(9)
        val follower = fleet.last { RelaySelector(it).choose(fleet, 0) != null }
        val selector = RelaySelector(follower)
        val first = checkNotNull(selector.choose(fleet, 0))
        assertNotEquals(first, selector.choose(fleet, 0, excluded = setOf(first.name)))
        assertEquals(first, selector.choose(fleet, 0))
    }

    @Test
    fun `a relay that keeps failing is left out for longer each time, and is back at once after an answer`() {
        val fleet = fleet(9)
        val selector = RelaySelector(fleet.last { RelaySelector(it).choose(fleet, 0) != null })
        val first = checkNotNull(selector.choose(fleet, 0))
        selector.avoid(first.name, 0)
        assertEquals(first, selector.choose(fleet, 2_000_000_000))
        selector.avoid(first.name, 3_000_000_000)
        assertNotEquals(first, selector.choose(fleet, 6_500_000_000))
        assertEquals(first, selector.choose(fleet, 6_500_000_000, includeAvoided = true))
        selector.restore(first.name)
        assertEquals(first, selector.choose(fleet, 6_500_000_000))
    }

    private fun fleet(size: Int): List<InstanceRecord> =
        List(size) { InstanceRecord("i$it", "h", 1, FailureDomain("abc"[it % 3].toString()), 10.0) }
}
