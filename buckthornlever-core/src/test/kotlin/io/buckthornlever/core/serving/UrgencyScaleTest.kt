package io.buckthornlever.core.serving

import io.buckthornlever.api.process.AccountId
import io.buckthornlever.api.serving.QuotaUnit
import io.buckthornlever.api.serving.RequestKind
import io.buckthornlever.api.serving.ServedAccount
import io.buckthornlever.api.serving.ServingTable
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull

/** Guards against engines that read the prompts of less urgent requests first, and against a header where no priorities differ. */
class UrgencyScaleTest {
    @Test
    fun `engines are told nothing when all routes have the same priority`() {
        assertNull(UrgencyScale(table(listOf(2, 2), listOf(0))).urgency("s", RequestPriority(2)))
    }

    @Test
    fun `services without engines are told nothing`() {
        val table = table(listOf(0, 2))
        val plain = table.copy(services = table.services.map { it.copy(engine = false) })
        assertNull(UrgencyScale(plain).urgency("s", RequestPriority(0)))
    }

    @Test
    fun `the priority of the account comes first, among equals the route decides`() {
        val scale = UrgencyScale(table(listOf(0, 2), listOf(1)))
        val order = listOf(RequestPriority(0), RequestPriority(1, 0), RequestPriority(1, 2), RequestPriority(2))
        assertEquals(listOf(0, 1, 2, 3), order.map { scale.urgency("s", it) })
    }

    @Test
    fun `with more combinations than the engine knows only the effective priority counts`() {
        val scale = UrgencyScale(table(listOf(0, 2), listOf(0, 1, 2, 3, 4, 5)))
        assertEquals(
            listOf(1, 1, 5),
            listOf(RequestPriority(1, 0), RequestPriority(1, 2), RequestPriority(5, 0)).map {
                scale.urgency("s", it)
            },
        )
    }

    @Test
    fun `the urgency stays within the scale for any integers`() {
        val scale = UrgencyScale(table(listOf(Int.MIN_VALUE, Int.MAX_VALUE), (0..20).toList()))
        assertEquals(listOf(0, 9), listOf(RequestPriority(Int.MIN_VALUE), RequestPriority(Int.MAX_VALUE)).map { scale.urgency("s", it) })
    }

    @Test
    fun `a request of an account that is no longer in the table keeps its place`() {
        val scale = UrgencyScale(table(listOf(0, 2)))
        assertEquals(listOf(0, 1, 1), listOf(RequestPriority(0), RequestPriority(1, 0), RequestPriority(2)).map { scale.urgency("s", it) })
    }

    private fun table(
        routePriorities: List<Int>,
        accountPriorities: List<Int> = emptyList(),
    ): ServingTable =
        ServingFixtures.table().copy(
            routes = routePriorities.map { ServingFixtures.route(RequestKind.STREAM).copy(priority = it) },
            accounts =
                accountPriorities.map { ServedAccount(AccountId("a$it"), emptySet(), it, QuotaUnit.REQUESTS, 0, 0.0, 0.0) },
        )
}
