package io.buckthornlever.core.serving

/**
 * One round of checks before a stream is placed: [asked] are asked for their load at the same time, and the stream goes to the best of
 * [candidates] by the answers. Not thread-safe.
 *
 * It is made for sites where machines are slow for some hundred milliseconds at a time: what instances have heard of them is mostly out
 * of date, and a stream that is placed on such a machine takes more than twice as long.
 *
 * The round ends when all have answered or failed, or at its deadline. Once half of them have answered, the others have as long again,
 * since a machine that takes much longer to say how busy it is will not be the best. One without an answer gets the stream only if no other
 * candidate can take it.
 *
 * @property candidates upstreams to choose from; the best by present figures first
 * @property asked the candidates whose figures are not new
 */
public class LoadCheck internal constructor(
    public val candidates: List<UpstreamEntry>,
    private val startNanos: Long,
    public val asked: List<UpstreamEntry> = candidates,
) {
    private val open = asked.toHashSet()
    private val unanswered = asked.toHashSet()
    private var answers = 0

    /** Monotonic time at which the round ends at the latest. */
    public var deadlineNanos: Long = startNanos + MAX_NANOS
        private set

    /** True if the figure of [entry] is new: it has answered, or was not asked since it had one. */
    internal fun isKnown(entry: UpstreamEntry): Boolean = entry !in unanswered

    /** Number of candidates that have answered. */
    public val answered: Int get() = answers

    /** Records that [entry] has answered, after its figure was passed to the balancer. */
    public fun onAnswered(
        entry: UpstreamEntry,
        nanos: Long,
    ) {
        if (!open.remove(entry)) return
        unanswered.remove(entry)
        answers++
        if (answers * 2 >=
            asked.size
        ) {
            deadlineNanos = minOf(deadlineNanos, maxOf(startNanos + 2 * (nanos - startNanos), nanos + MIN_MORE_NANOS))
        }
    }

    /** Records that [entry] will not answer, or with something that is not its load. */
    public fun onFailed(entry: UpstreamEntry) {
        open.remove(entry)
    }

    /** True once the stream is to be placed. */
    public fun isComplete(nanos: Long): Boolean = open.isEmpty() || nanos >= deadlineNanos

    private companion object {
        /** Checks are answered within a few milliseconds unless a message is lost; a longer wait costs more than a bad choice. */
        const val MAX_NANOS = 30_000_000L

        /** Differences between answers of equally good upstreams, which differ by the latency between failure domains. */
        const val MIN_MORE_NANOS = 3_000_000L
    }
}
