package io.buckthornlever.core.request

import io.buckthornlever.core.process.RoutingSettings
import io.buckthornlever.core.process.UpstreamRuntime
import kotlin.test.Test
import kotlin.test.assertNull
import kotlin.test.assertSame

class PrefixCacheDirectoryTest {
    private val first = UpstreamRuntime(Fixtures.spec("u1"), RoutingSettings(), 0)
    private val second = UpstreamRuntime(Fixtures.spec("u2"), RoutingSettings(), 0)
    private val directory = PrefixCacheDirectory()

    @Test
    fun `a spill does not replace the holder, an eviction by the holder does`() {
        directory.recordStored(5, first)
        directory.recordStored(5, second)
        assertSame(first, directory.holder(5))
        directory.recordEvicted(5, second)
        assertSame(first, directory.holder(5))
        directory.recordEvicted(5, first)
        assertNull(directory.holder(5))
        directory.recordStored(5, second)
        assertSame(second, directory.holder(5))
    }

    @Test
    fun `an upstream that lost its cache holds nothing`() {
        directory.recordStored(5, first)
        directory.removeUpstream(first)
        assertNull(directory.holder(5))
    }
}
