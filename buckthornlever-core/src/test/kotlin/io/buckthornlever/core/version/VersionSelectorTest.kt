package io.buckthornlever.core.version

import io.buckthornlever.api.process.RouteName
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.IntRange
import kotlin.math.abs
import kotlin.test.assertTrue

internal class VersionSelectorTest {
    @Property(tries = 100, seed = "15")
    fun `after any number of requests the share is exact to one request per route`(
        @ForAll @IntRange(min = 0, max = 1_000) permille: Int,
        @ForAll @IntRange(min = 1, max = 3_000) requests: Int,
    ) {
        val picker = VersionSelector(MoveFixture.SELF)
        val weights = VersionWeights(MoveFixture.MOVE.from, MoveFixture.MOVE.to, permille)
        val onNew = (1..requests).count { picker.select(MoveFixture.POOL, RouteName("r"), weights) == weights.new }
        assertTrue(abs(onNew - requests * permille / 1_000.0) < 1, "$onNew of $requests at $permille")
    }
}
