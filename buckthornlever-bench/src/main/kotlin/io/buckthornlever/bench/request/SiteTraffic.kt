package io.buckthornlever.bench.request

import io.buckthornlever.api.process.AccountId
import io.buckthornlever.api.request.RequestId
import io.buckthornlever.api.request.WorkClass
import java.time.Duration
import kotlin.math.ln
import kotlin.math.pow
import kotlin.random.Random

/**
 * Seeded mix of long requests that share a context with others and of short interactive requests. All begin with the same
 * system prompt. Contexts are requested with a frequency that falls with their rank (Zipf).
 *
 * @property longPerSecond long requests per second, over all entry instances
 * @property shortPerSecond interactive requests per second, over all entry instances
 */
internal class SiteTraffic(
    seed: Long,
    private val longPerSecond: Double,
    private val shortPerSecond: Double,
    private val accountShares: Map<AccountId, Double>,
) {
    private val random = Random(seed)
    private val cumulative = DoubleArray(CONTEXTS)
    private val contextBlocks = IntArray(CONTEXTS) { random.nextInt(MIN_CONTEXT_BLOCKS, MAX_CONTEXT_BLOCKS) }
    private var serial = 0L

    /** All calls so far, in the order of arrival. */
    val calls = ArrayList<SimulatedCall>()

    init {
        var sum = 0.0
        for (rank in 0 until CONTEXTS) {
            sum += 1.0 / (rank + 1.0).pow(ZIPF_EXPONENT)
            cumulative[rank] = sum
        }
    }

    /** Lets calls arrive on [loop] until [end]. */
    fun start(
        loop: EventLoop,
        end: Duration,
        arrive: (SimulatedCall) -> Unit,
    ) {
        if (longPerSecond > 0) next(loop, end, longPerSecond, { longCall(loop.nanos) }, arrive)
        if (shortPerSecond > 0) next(loop, end, shortPerSecond, { shortCall(loop.nanos) }, arrive)
    }

    private fun next(
        loop: EventLoop,
        end: Duration,
        rate: Double,
        create: () -> SimulatedCall,
        arrive: (SimulatedCall) -> Unit,
    ) {
        val gap = Duration.ofNanos((-ln(1 - random.nextDouble()) / rate * NANOS_PER_SECOND).toLong())
        if (loop.nanos + gap.toNanos() > end.toNanos()) return
        loop.after(gap) {
            val call = create()
            calls.add(call)
            arrive(call)
            next(loop, end, rate, create, arrive)
        }
    }

    private fun longCall(now: Long): SimulatedCall {
        val context = context()
        val own = random.nextInt(2, 8)
        val prefix = LongArray(SYSTEM_BLOCKS + contextBlocks[context] + own)
        for (i in prefix.indices) {
            prefix[i] =
                when {
                    i < SYSTEM_BLOCKS -> i + 1L
                    i < SYSTEM_BLOCKS + contextBlocks[context] -> (context + 1) * CONTEXT_STRIDE + i
                    else -> random.nextLong()
                }
        }
        return call(WorkClass.LONG, prefix, random.nextInt(200, 700), now, LONG_DEADLINE)
    }

    private fun shortCall(now: Long): SimulatedCall {
        val prefix = LongArray(SYSTEM_BLOCKS + random.nextInt(1, 4)) { if (it < SYSTEM_BLOCKS) it + 1L else random.nextLong() }
        return call(WorkClass.INTERACTIVE, prefix, random.nextInt(20, 60), now, SHORT_DEADLINE)
    }

    private fun call(
        work: WorkClass,
        prefix: LongArray,
        output: Int,
        now: Long,
        deadline: Duration,
    ): SimulatedCall {
        val tokens = prefix.size * SimulatedEngine.BLOCK_TOKENS + random.nextInt(SimulatedEngine.BLOCK_TOKENS)
        return SimulatedCall(RequestId("call-${serial++}"), account(), work, prefix, tokens, output, now, now + deadline.toNanos())
    }

    private fun account(): AccountId {
        var point = random.nextDouble() * accountShares.values.sum()
        for ((account, share) in accountShares) {
            point -= share
            if (point < 0) return account
        }
        return accountShares.keys.last()
    }

    private fun context(): Int {
        val point = random.nextDouble() * cumulative.last()
        return cumulative.indexOfFirst { it >= point }
    }

    companion object {
        /** Five client accounts, of which a few are large. */
        val ACCOUNTS: Map<AccountId, Double> =
            mapOf("north" to 0.45, "south" to 0.3, "east" to 0.15, "west" to 0.06, "hill" to 0.04).mapKeys { AccountId(it.key) }

        private const val CONTEXTS = 120
        private const val ZIPF_EXPONENT = 0.8
        private const val SYSTEM_BLOCKS = 5
        private const val MIN_CONTEXT_BLOCKS = 30
        private const val MAX_CONTEXT_BLOCKS = 90
        private const val CONTEXT_STRIDE = 1_000_003L
        private const val NANOS_PER_SECOND = 1e9
        private val LONG_DEADLINE = Duration.ofSeconds(60)
        private val SHORT_DEADLINE = Duration.ofSeconds(8)
    }
}
