package io.buckthornlever.core.request

import io.buckthornlever.api.process.AccountId
import io.buckthornlever.api.process.AccountTable
import io.buckthornlever.api.process.ClientAccount
import io.buckthornlever.api.request.ErrorCode
import io.buckthornlever.api.request.ExecutionStatus
import io.buckthornlever.api.request.RequestId
import io.buckthornlever.api.request.WorkClass
import io.buckthornlever.core.process.ManualClock
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.IntRange
import java.time.Duration
import kotlin.math.abs
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue

class AdmissionControllerTest {
    private val clock = ManualClock()
    private val place = Selection.Chosen(Fixtures.spec("u1"), Fixtures.POOL, Explanation.EMPTY)
    private val full = Selection.AtCapacity(Explanation.EMPTY)
    private var serial = 0

    @Test
    fun `interactive work of an account starts before its long work`() {
        val queue = AdmissionController(clock)
        queue.offer(request("a", WorkClass.LONG))
        val urgent = request("a")
        queue.offer(urgent)
        assertEquals(urgent, queue.poll { place }.first().request)
    }

    @Test
    fun `long work without a place does not hold up interactive work`() {
        val queue = AdmissionController(clock)
        queue.offer(request("a", WorkClass.LONG))
        queue.offer(request("b"))
        val events = queue.poll { if (it.workClass == WorkClass.LONG) full else place }
        assertEquals(listOf("b"), events.map { it.request.account.value })
    }

    @Test
    fun `the account with most waiting work loses its last request when the queue is full`() {
        val queue = AdmissionController(clock, AdmissionSettings(maxWaiting = 4, maxWaitingPerAccount = 10))
        val large = (1..4).map { request("large") }
        large.forEach { assertNull(queue.offer(it)) }
        assertNull(queue.offer(request("small")))
        val refused = queue.poll { full }.filterIsInstance<AdmissionEvent.Refused>().single()
        assertEquals(large.last(), refused.request)
        assertEquals(ExecutionStatus.NOT_RUN, refused.error.executed)
        assertEquals(ErrorCode.OVERLOADED, assertNotNull(queue.offer(request("large"))).code)
    }

    @Test
    fun `without any upstream interactive work is refused at once and long work waits`() {
        val queue = AdmissionController(clock)
        queue.offer(request("a"))
        queue.offer(request("a", WorkClass.LONG))
        val refused = queue.poll { Selection.NoUpstream(Explanation.EMPTY) }.filterIsInstance<AdmissionEvent.Refused>().single()
        assertEquals(ErrorCode.NO_UPSTREAM, refused.error.code)
        assertEquals(1, queue.waiting)
    }

    @Test
    fun `a request that cannot start in time at the present rate is refused on arrival`() {
        val queue = AdmissionController(clock)
        repeat(200) { queue.offer(request("a", seconds = 60)) }
        repeat(20) {
            var places = 1
            queue.poll { if (places-- > 0) place else full }
            clock.advance(Duration.ofMillis(100))
        }
        assertEquals(ErrorCode.OVERLOADED, queue.offer(request("a", seconds = 2))?.code)
        assertNull(queue.offer(request("a", seconds = 60)))
        assertNull(queue.offer(request("b", seconds = 2)), "another account is not made to wait behind")
    }

    /** Guards against a request that is both started and refused, lost, or refused with anything but "not run". */
    @Property(seed = "51", tries = 200)
    fun `each accepted request ends exactly once and no refused one has started`(
        @ForAll seed: Long,
    ) {
        val random = Random(seed)
        val queue = AdmissionController(clock, AdmissionSettings(maxWaiting = 12, maxWaitingPerAccount = 5))
        val waiting = mutableSetOf<AdmissionRequest>()
        repeat(300) {
            when (random.nextInt(3)) {
                0 -> {
                    val request =
                        request("a${random.nextInt(4)}", WorkClass.entries.random(random), random.nextLong(0, 5), random.nextInt(1, 9))
                    val error = queue.offer(request)
                    if (error == null) waiting += request else assertEquals(ExecutionStatus.NOT_RUN, error.executed)
                }
                1 -> {
                    var places = random.nextInt(3)
                    for (event in queue.poll { if (places-- > 0) place else full }) {
                        assertTrue(waiting.remove(event.request), "$event for a request that does not wait")
                        if (event is AdmissionEvent.Refused) assertEquals(ExecutionStatus.NOT_RUN, event.error.executed)
                        if (event is AdmissionEvent.Started) assertTrue(event.request.startBefore >= clock.monotonicNanos())
                    }
                }
                else -> {
                    clock.advance(Duration.ofMillis(random.nextLong(400)))
                    waiting.randomOrNull(random)?.let { if (random.nextInt(5) == 0 && queue.cancel(it)) waiting.remove(it) }
                }
            }
        }
        clock.advance(Duration.ofMinutes(1))
        queue.poll { full }.forEach { assertTrue(waiting.remove(it.request)) }
        assertEquals(emptySet(), waiting)
        assertEquals(0, queue.waiting)
        assertEquals(Long.MAX_VALUE, queue.nextDeadline)
    }

    /** Guards against a client account that gets more than its weight by sending more, larger or only interactive requests. */
    @Property(seed = "52", tries = 60)
    fun `accounts that always have work waiting get service in proportion to their weights`(
        @ForAll @IntRange(min = 2, max = 5) accounts: Int,
        @ForAll seed: Long,
    ) {
        val random = Random(seed)
        val weights = DoubleArray(accounts) { 1.0 + random.nextInt(4) }
        val sizes = IntArray(accounts) { random.nextInt(1, 50) }
        val works = Array(accounts) { if (random.nextBoolean()) WorkClass.LONG else WorkClass.INTERACTIVE }
        val queue =
            AdmissionController(clock, AdmissionSettings(maxWaitingPerAccount = 100_000, maxWaiting = 100_000, interactiveLead = 100.0))
        queue.configure(AccountTable(1, (0 until accounts).map { ClientAccount(AccountId("a$it"), weights[it], "") }))
        val served = DoubleArray(accounts)
        for (i in 0 until accounts) repeat(4) { offer(queue, i, works[i], sizes[i]) }
        repeat(4_000) {
            var places = 1
            val started = queue.poll { if (places-- > 0) place else full }.single().request
            val account = started.account.value.drop(1).toInt()
            served[account] += started.cost
            offer(queue, account, works[account], sizes[account])
        }
        val shares = served.indices.map { served[it] / weights[it] }
        val spread = shares.max() - shares.min()
        assertTrue(abs(spread) <= 2 * (100.0 + 50.0), "service per weight $shares")
    }

    private fun offer(
        queue: AdmissionController,
        account: Int,
        work: WorkClass,
        size: Int,
    ) {
        assertNull(queue.offer(request("a$account", work, 1_000_000, size)))
    }

    private fun request(
        account: String,
        work: WorkClass = WorkClass.INTERACTIVE,
        seconds: Long = 10,
        cost: Int = 1,
    ) = AdmissionRequest(
        RequestId("q${serial++}"),
        AccountId(account),
        Fixtures.POOL,
        work,
        cost.toDouble(),
        clock.monotonicNanos() + Duration.ofSeconds(seconds).toNanos(),
    )
}
