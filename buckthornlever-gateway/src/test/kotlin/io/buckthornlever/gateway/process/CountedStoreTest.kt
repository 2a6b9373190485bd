package io.buckthornlever.gateway.process

import io.buckthornlever.api.serving.StateKind
import io.buckthornlever.api.serving.StateValue
import io.buckthornlever.api.serving.UsageWindow
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals

/** Guards against calls to the store that the operators pay for and do not see. */
class CountedStoreTest {
    private val metrics = GatewayMetrics()
    private val counter = StoreCallCounter(metrics)
    private val store = CountedStore(InMemoryStore(), counter, StoreCallCause.FOLLOWED_STATE)

    @Test
    fun `calls are counted by kind, verb and cause`() {
        repeat(2) { store.read(StateKind.LEASES, "duties") {} }
        store.create(StateKind.USAGE_WINDOWS, "1", StateValue.Usage(UsageWindow(1, emptyMap()))) {}
        assertEquals(3, counter.total)
        assertEquals("leases.read.lease:2,usage_windows.create.usage:1", counter.summary())
        val line = "buckthornlever_store_calls_total{cause=\"lease\",kind=\"leases\",verb=\"read\"} 2.0"
        assertContains(metrics.prometheusText().decodeToString(), line)
    }
}
