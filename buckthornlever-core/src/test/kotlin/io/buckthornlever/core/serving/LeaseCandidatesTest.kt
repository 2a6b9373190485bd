package io.buckthornlever.core.serving

import io.buckthornlever.api.process.FailureDomain
import io.buckthornlever.api.serving.InstanceRecord
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Guards against many instances that poll the store for the lease, and against a lease that nobody can take over. */
class LeaseCandidatesTest {
    @Test
    fun `a site has three candidates and in a smaller one all instances are candidates`() {
        for (count in listOf(1, 3, 9, 95, 1_200)) {
            val all = instances(count, 1)
            assertEquals(minOf(3, count), LeaseCandidates.of(all).size, "$count instances")
            assertEquals(LeaseCandidates.of(all), LeaseCandidates.of(all.reversed()), "$count instances")
        }
    }

    @Test
    fun `another instance takes the place of a candidate that is gone`() {
        val all = instances(9, 1)
        val gone = LeaseCandidates.of(all).first()
        assertTrue(LeaseCandidates.of(all.filter { it.name != gone }).size == 3)
    }

    @Test
    fun `the loss of one failure domain leaves candidates`() {
        for (domains in 2..4) {
            val all = instances(70, domains)
            val byName = all.associateBy { it.name }
            val domainsOfCandidates = LeaseCandidates.of(all).map { byName.getValue(it).domain }.toSet()
            assertEquals(minOf(3, domains), domainsOfCandidates.size, "$domains domains")
        }
    }

    private fun instances(
        count: Int,
        domains: Int,
    ): List<InstanceRecord> = List(count) { InstanceRecord("front-$it", "127.0.0.1", 1, FailureDomain("d${it % domains}"), 1.0) }
}
