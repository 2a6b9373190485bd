package io.buckthornlever.core.serving

import io.buckthornlever.api.connection.UpstreamId
import io.buckthornlever.api.process.FailureDomain
import io.buckthornlever.api.process.InstanceId
import java.time.Duration
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertIs
import kotlin.test.assertTrue

/** Guards against a registration that the store executes late, or has from a copy, and that undoes a newer one of the same upstream. */
class LateRegistrationTest {
    private val balancer = UpstreamBalancer(InstanceId("i1"), FailureDomain("a"), ManualClock())
    private val query = PlacementQuery("s")

    @Test
    fun `an upstream that leaves gets nothing after a late registration as ready`() {
        register(sequence = 7)
        register(sequence = 9, leaving = true)
        assertFalse(register(sequence = 8, millis = 4_000))
        assertIs<Placement.NoUpstream>(choose(4_000))
    }

    @Test
    fun `an upstream that has left gets nothing after a late registration as ready`() {
        register(sequence = 9, leaving = true)
        balancer.onUnregistered(ID)
        assertFalse(register(sequence = 8, millis = 4_000))
        assertIs<Placement.NoUpstream>(choose(4_000))
    }

    @Test
    fun `a restored copy older than the time in which upstreams register again does not bring back one that leaves`() {
        register(sequence = 9, leaving = true)
        balancer.onStoreRestored(0)
        register(sequence = 8, millis = 6_000)
        assertIs<Placement.NoUpstream>(choose(6_000))
    }

    @Test
    fun `an upstream that has started again keeps its requests after a late registration of the process before`() {
        register(sequence = 9)
        register(sequence = 1, born = 2)
        assertFalse(register(sequence = 10, leaving = true, millis = 4_000))
        assertIs<Placement.Chosen>(choose(4_000))
    }

    @Test
    fun `a cold upstream stays cold after a late registration of the process before`() {
        register(sequence = 9)
        balancer.onRegistered(ServingFixtures.upstream("u1", coldFor = Duration.ofSeconds(30)).copy(bornMillis = 2, sequence = 1), 0)
        register(sequence = 10, millis = 1_000)
        assertTrue(balancer.upstreams.single().isCold(millis(1_000)))
    }

    @Test
    fun `an upstream that starts again under its id is used at once though its sequence starts anew`() {
        register(sequence = 9, leaving = true)
        assertTrue(register(sequence = 1, born = 2))
        assertIs<Placement.Chosen>(choose(0))
    }

    @Test
    fun `an upstream that was gone for a moment is used at once with its next registration`() {
        register(sequence = 9)
        balancer.onUnregistered(ID)
        assertTrue(register(sequence = 10))
        assertIs<Placement.Chosen>(choose(0))
    }

    @Test
    fun `registrations without a sequence or a birth are taken in the order of their arrival`() {
        register(sequence = 9, leaving = true)
        balancer.onRegistered(ServingFixtures.upstream("u1").copy(bornMillis = 1), 0)
        assertIs<Placement.Chosen>(choose(0))
        register(sequence = 9, leaving = true)
        balancer.onRegistered(ServingFixtures.upstream("u1").copy(sequence = 8), 0)
        assertIs<Placement.Chosen>(choose(0))
    }

    // Guards against an upstream that is never used again since its host has started it with a clock that is behind.
    @Test
    fun `a late registration that still stands after ten seconds is used`() {
        register(sequence = 9)
        register(sequence = 1, born = 0, leaving = true)
        assertEquals(emptyList(), balancer.registerStanding(millis(9_999)))
        assertEquals(listOf(ID), balancer.registerStanding(millis(10_000)))
        assertIs<Placement.NoUpstream>(choose(10_000))
    }

    @Test
    fun `a late registration that was removed or replaced meanwhile is not used`() {
        register(sequence = 9)
        register(sequence = 8, leaving = true)
        balancer.onUnregistered(ID)
        assertEquals(emptyList(), balancer.registerStanding(millis(10_000)))
        register(sequence = 10)
        register(sequence = 8, leaving = true)
        register(sequence = 11)
        assertEquals(emptyList(), balancer.registerStanding(millis(20_000)))
        register(sequence = 8, leaving = true)
        balancer.onLapsed(ID, 0)
        assertEquals(emptyList(), balancer.registerStanding(millis(30_000)))
    }

    private fun register(
        sequence: Long,
        born: Long = 1,
        leaving: Boolean = false,
        millis: Long = 0,
    ): Boolean {
        val upstream = ServingFixtures.upstream("u1", leaving = leaving)
        return balancer.onRegistered(upstream.copy(bornMillis = born, sequence = sequence), millis(millis))
    }

    private fun choose(millis: Long): Placement = balancer.choose(query, millis(millis))

    private fun millis(count: Long): Long = Duration.ofMillis(count).toNanos()

    private companion object {
        val ID = UpstreamId("u1")
    }
}
