package io.buckthornlever.core.serving

import java.time.Duration
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue

/** Guards against more retries than the budget of a service allows over all instances. */
class ServiceRetryBudgetTest {
    @Test
    fun `all instances together stay within ratio and slack`() {
        val requests = 50
        val instances = 9
        val total =
            (1..instances).sumOf {
                val budget = ServiceRetryBudget(0.2, Duration.ofSeconds(10), 58.0) { 1.0 }.apply { this.instances = instances }
                repeat(requests) { budget.onRequest("s", 0) }
                (1..1_000).count { budget.send("s", 0) }
            }
        assertTrue(total <= 0.2 * requests * instances + 58, "retries $total")
        assertTrue(total >= 100, "retries $total")
    }

    @Test
    fun `services have budgets of their own`() {
        val budget = ServiceRetryBudget(0.0, Duration.ofSeconds(10), 5.0) { 1.0 }.apply { instances = 1 }
        assertEquals(4, (1..10).count { budget.send("a", 0) })
        assertEquals(4, (1..10).count { budget.send("b", 0) })
    }

    @Test
    fun `retries are allowed again once earlier ones have left the window`() {
        val budget = ServiceRetryBudget(0.0, Duration.ofSeconds(10), 5.0) { 1.0 }.apply { instances = 1 }
        repeat(10) { budget.send("s", 0) }
        assertTrue(!budget.send("s", Duration.ofSeconds(9).toNanos()))
        assertTrue(budget.send("s", Duration.ofSeconds(11).toNanos()))
    }

    @Test
    fun `a retry that is given up before it is sent returns to the budget`() {
        val budget = ServiceRetryBudget(0.0, Duration.ofSeconds(10), 2.0) { 1.0 }.apply { instances = 1 }
        val reservation = assertNotNull(budget.reserve("s", 0))
        assertNull(budget.reserve("s", 0))
        reservation.release()
        reservation.release()
        assertNotNull(budget.reserve("s", 0))
        assertNull(budget.reserve("s", 0))
    }

    private fun ServiceRetryBudget.send(
        service: String,
        nanos: Long,
    ): Boolean = reserve(service, nanos)?.onSent(nanos) != null
}
