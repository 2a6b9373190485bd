package io.buckthornlever.core.serving

import io.buckthornlever.api.process.FailureDomain
import io.buckthornlever.api.serving.InstanceRecord
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotEquals

/** Guards against instances that follow each other in a circle, and against calls to the store that grow with the fleet. */
class RelayChoiceTest {
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
    fun `the widest link is chosen`() {
        val fleet = fleet(8) + InstanceRecord("wide", "h", 1, FailureDomain("a"), 200.0)
        assertEquals("wide", RelaySelector(fleet.first()).choose(fleet, 0)?.name)
    }

    @Test
    fun `a relay that failed is left out for some time`() {
        val fleet = fleet(9)
        val follower = fleet.first { RelaySelector(it).choose(fleet, 0) != null }
        val choice = RelaySelector(follower)
        val first = checkNotNull(choice.choose(fleet, 0))
        choice.avoid(first.name, 0)
        assertNotEquals(first, choice.choose(fleet, 1))
        assertEquals(first, choice.choose(fleet, 11_000_000_000))
    }

    @Test
    fun `the next relay of the order takes the place of one that has just failed`() {
        val fleet = fleet(9)
        val follower = fleet.last { RelaySelector(it).choose(fleet, 0) != null }
        val choice = RelaySelector(follower)
        val first = checkNotNull(choice.choose(fleet, 0))
        assertNotEquals(first, choice.choose(fleet, 0, excluded = first.name))
        assertEquals(first, choice.choose(fleet, 0))
    }

    private fun fleet(size: Int): List<InstanceRecord> =
        List(size) { InstanceRecord("i$it", "h", 1, FailureDomain("abc"[it % 3].toString()), 10.0) }
}
