package io.buckthornlever.core.serving

import io.buckthornlever.api.process.AccountId
import io.buckthornlever.api.serving.RequestKind
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Guards against a hot account that takes the room of quiet ones, and against limits where room is unused. */
class AccountSharesTest {
    private val shares = AccountShares()

    @Test
    fun `quiet accounts get what they ask for and a hot one the rest`() {
        update("quiet" to 10.0, "other" to 20.0, "hot" to 170.0)
        assertEquals(listOf(1.0, 1.0, 70.0 / 170), listOf("quiet", "other", "hot").map { now(it, 0.5) })
    }

    @Test
    fun `accounts beyond their part share what the others leave equally`() {
        update("quiet" to 10.0, "hot" to 100.0, "hotter" to 190.0)
        assertEquals(listOf(1.0, 0.7, 70.0 / 190), listOf("quiet", "hot", "hotter").map { now(it, 0.5) })
    }

    @Test
    fun `accounts that ask for more than the mean are beyond their share as long as figures are fresh`() {
        update("quiet" to 10.0, "other" to 30.0, "hot" to 100.0)
        assertEquals(
            listOf(false, false, true, false),
            listOf("quiet", "other", "hot", "unknown").map {
                shares.isBeyondShare(request(it), 1)
            },
        )
        assertEquals(false, shares.isBeyondShare(request("hot"), 2_100_000_000))
    }

    @Test
    fun `while there is room nobody is limited`() {
        update("quiet" to 1.0, "hot" to 1e9)
        assertEquals(1.0, now("hot", 1.0))
    }

    @Test
    fun `every account gets a quarter of the common share`() {
        update(*(0..40).map { "a$it" to 1.0 }.toTypedArray(), "hot" to 1e9)
        assertTrue(now("hot", 0.1) >= 0.025)
    }

    @Test
    fun `the sum over the accounts is the room`() {
        val asked = (1..16).associate { "a$it" to it * it * 10.0 }
        update(*asked.toList().toTypedArray())
        for (room in listOf(0.3, 0.6, 0.9)) {
            assertEquals(asked.values.sum() * room, asked.entries.sumOf { (name, tokens) -> tokens * now(name, room) }, 1e-6)
        }
    }

    @Test
    fun `accounts of other priorities and services do not count`() {
        shares.update(mapOf(AccountClass("s", 0, AccountId("hot")) to 100.0, AccountClass("t", 2, AccountId("b")) to 50.0), 0)
        assertEquals(0.5, now("b", 0.5))
    }

    @Test
    fun `figures that are old or absurd leave the common share`() {
        update("quiet" to 10.0, "hot" to Double.NaN, "huge" to Double.POSITIVE_INFINITY, "less" to -5.0)
        assertEquals(0.5, now("quiet", 0.5), 1e-9)
        update("quiet" to 10.0, "hot" to 100.0)
        assertEquals(0.5, now("hot", 0.5, 2_100_000_000))
    }

    @Test
    fun `figures of the fleet survive a message and those of a malformed one are left out`() {
        val demand = AccountDemand()
        val one = AccountClass("s/with slash", 2, AccountId("a1"))
        demand.onRequest(AccountClass("s", 2, AccountId("a/1")), 200, 1)
        assertEquals(mapOf(AccountClass("s", 2, AccountId("a/1")) to 100.0), AccountDemand.decode(demand.rates(1)))
        assertEquals(emptyMap(), AccountDemand.decode(mapOf("" to 1.0, "x/s/a" to 1.0, "1/s" to 2.0)))
        assertEquals("s/with slash", one.service)
    }

    @Test
    fun `rates add up over the instances that have sent theirs lately`() {
        val demand = AccountDemand()
        demand.onRequest(AccountClass("s", 2, AccountId("a")), 200, 1)
        demand.updatePeer("i1", mapOf("2/s/a" to 50.0, "2/s/b" to Double.NaN, "2/s/c" to -1.0), 1)
        demand.updatePeer("i2", mapOf("2/s/a" to 10.0), 1)
        demand.updatePeer("i2", mapOf("2/s/a" to 20.0), 2)
        assertEquals(mapOf("2/s/a" to 170.0), demand.rates(3))
        demand.updatePeer("i1", mapOf("2/s/a" to 30.0), 1_900_000_000)
        assertEquals(130.0, demand.rates(2_000_000_003)["2/s/a"])
    }

    @Test
    fun `figures of many accounts stay bounded`() {
        val demand = AccountDemand()
        repeat(1_000) { demand.onRequest(AccountClass("s", 2, AccountId("a$it")), it + 1, 1) }
        assertEquals(64, demand.ownRates(1).size)
        assertTrue("2/s/a999" in demand.rates(1))
    }

    private fun update(vararg tokens: Pair<String, Double>) =
        shares.update(tokens.associate { (name, rate) -> AccountClass("s", 2, AccountId(name)) to rate }, 0)

    private fun now(
        account: String,
        room: Double,
        nanos: Long = 1,
    ): Double = shares.apply(request(account), AdmissionShares(room, room, AdmissionObstacle.LESS_URGENT), nanos).now

    private fun request(account: String): OverloadRequest =
        OverloadRequest("s", ServingFixtures.route(RequestKind.STREAM), RequestPriority(2), AccountId(account), 1, 1, 0, 1)
}
