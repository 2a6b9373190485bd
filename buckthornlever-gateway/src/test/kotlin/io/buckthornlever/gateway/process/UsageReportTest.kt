package io.buckthornlever.gateway.process

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue

/** Guards against usage windows, by which customers are billed, that are reported without some counts, too late or never. */
class UsageReportTest {
    private val site = UsageSite((0 until 9).map { "i$it" })

    @Test
    fun `windows have the counts of a third of the instances that was cut off from the lease holder for 12 s`() {
        site.runUntil(1_000)
        val holder = assertNotNull(site.holder)
        val cutOff = (site.nodes.keys - holder).take(3).toSet()
        site.isCut = { a, b -> (a in cutOff) != (b in cutOff) }
        site.runUntil(13_000)
        site.isCut = { _, _ -> false }
        site.runUntil(40_000)
        assertEquals(emptyMap(), site.wrongWindows(0, 30_000))
        assertEquals(emptySet(), site.conflictingWindows())
    }

    // The store reset the connections of whoever held the lease and served the others.
    @Test
    fun `no window is lost while the store fails the lease holder alone`() {
        site.runUntil(2_500)
        site.withoutStore = { name -> name == "i1" || name == "i2" || name == "i3" }
        site.runUntil(11_500)
        site.withoutStore = { false }
        site.runUntil(17_500)
        site.withoutStore = { it == site.holderInStore() }
        site.runUntil(24_500)
        site.withoutStore = { false }
        site.runUntil(60_000)
        assertEquals(emptyMap(), site.wrongWindows(0, 50_000))
        assertEquals(emptySet(), site.conflictingWindows())
    }

    @Test
    fun `the restart of all instances in turn and a store outage lose no window and no counts`() {
        val names = site.nodes.keys.toList()
        site.runUntil(17_400)
        for ((position, name) in names.withIndex()) {
            site.runUntil(18_000 + position * 1_600L)
            site.store.isRefusing = site.elapsedMillis in 21_000..24_000
            site.restart(name)
        }
        site.store.isRefusing = false
        site.runUntil(60_000)
        assertEquals(emptyMap(), site.wrongWindows(0, 50_000))
        assertEquals(emptySet(), site.conflictingWindows())
    }

    @Test
    fun `a window is reported late rather than never if nobody could hold the lease for long`() {
        site.runUntil(7_000)
        site.store.isRefusing = true
        site.runUntil(47_000)
        site.store.isRefusing = false
        site.runUntil(60_000)
        val reported = site.reports.map { it.second.index }.toSet()
        assertEquals((site.windowIndexAt(0)..site.windowIndexAt(50_000)).toSet(), reported)
        assertEquals(
            site.started.filterKeys { it in reported },
            site.reports.associate {
                it.second.index to
                    it.second.counts[UsageSite.ACCOUNT]
            },
        )
    }

    @Test
    fun `counts that a killed instance has told are reported although the lease holder is killed after it`() {
        site.runUntil(8_200)
        val holder = assertNotNull(site.holder)
        site.kill((site.nodes.keys - holder).first())
        site.runUntil(9_800)
        site.kill(holder)
        site.runUntil(30_000)
        val lost = site.wrongWindows(0, 20_000)
        assertEquals(setOf(site.windowIndexAt(8_000)), lost.keys)
        val window = site.reports.first { it.second.index == site.windowIndexAt(8_000) }.second
        // Only the counts since the last message of the killed ones are missing.
        assertEquals(site.started.getValue(window.index) - 2, window.counts[UsageSite.ACCOUNT], lost.toString())
    }

    @Test
    fun `a holder that does not reach the cloud API hands the lease over`() {
        site.runUntil(8_000)
        val holder = assertNotNull(site.holder)
        site.withoutCloud = { it == holder }
        site.runUntil(60_000)
        assertEquals(emptyMap(), site.wrongWindows(0, 50_000))
        assertEquals(emptySet(), site.conflictingWindows())
    }

    @Test
    fun `windows are reported within two seconds of their end while all instances are in touch`() {
        site.runUntil(60_000)
        val delays = site.reports.map { (millis, window) -> millis - site.endOf(window.index) }
        assertTrue(delays.all { it <= 2_000 }, delays.toString())
    }
}
