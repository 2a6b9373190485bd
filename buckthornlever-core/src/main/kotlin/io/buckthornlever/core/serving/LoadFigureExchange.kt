package io.buckthornlever.core.serving

import java.time.Duration

/**
 * Shares load figures between instances. Each tells the lease holder what upstreams have stated to it since its last message, and the
 * holder tells all instances the newest figure of each upstream. A figure is sent once; a lost one is made up for by the next one that
 * the upstream states to anyone. Without a holder, an instance goes on with what it hears itself. Not thread-safe.
 *
 * Nothing is kept besides the newest figure of each upstream, and a message has at most as many bytes as its sender allows.
 */
public class LoadFigureExchange(
    private val balancer: UpstreamBalancer,
) {
    /** Encodes, in at most [maxBytes] bytes, the figures that upstreams have stated to this instance since the last call. */
    public fun takeOwn(
        nanos: Long,
        maxBytes: Int,
    ): ByteArray = take(nanos, maxBytes) { it.isFigureOwn }

    /** Encodes, in at most [maxBytes] bytes, the figures that this instance has learned since the last call, from anyone. */
    public fun takeAll(
        nanos: Long,
        maxBytes: Int,
    ): ByteArray = take(nanos, maxBytes) { true }

    /** Records the figures in [bytes], which another instance sent at [sentNanos] on the clock of this one. */
    public fun onReceived(
        bytes: ByteArray,
        sentNanos: Long,
    ): Unit = LoadFigureCodec.decode(bytes, sentNanos) { life, figure -> balancer.onLoadShared(life, figure) }

    private fun take(
        nanos: Long,
        maxBytes: Int,
        isWanted: (UpstreamEntry) -> Boolean,
    ): ByteArray {
        val news = ArrayList<News>()
        for (entry in balancer.upstreams) {
            val figure = entry.figure ?: continue
            val isNews = figure.nanos > entry.sharedFigureNanos && nanos - figure.nanos <= LoadFigureCodec.MAX_AGE_NANOS
            if (isNews && isWanted(entry)) news.add(News(entry, figure))
        }
        // Those first whose last known figure is the oldest.
        news.sortWith(compareBy<News> { it.entry.sharedFigureNanos }.thenByDescending { it.figure.nanos })
        return LoadFigureCodec.encode(news.map { it.entry.life to it.figure }, nanos, maxBytes) { index ->
            news[index].entry.sharedFigureNanos = news[index].figure.nanos
        }
    }

    private class News(
        val entry: UpstreamEntry,
        val figure: LoadFigure,
    )

    public companion object {
        private const val BYTES_PER_MEGABIT = 125_000.0
        private const val MILLIS_PER_SECOND = 1_000.0

        /** The narrowest link of an instance; counts where the width is unknown. */
        private const val MIN_LINK_MEGABITS = 7.0

        /** Share of the holder's link that load figures may take. */
        private const val LINK_SHARE = 0.25

        /** Some 14 figures even with 1,200 instances on a narrow link, and no more than some 900. */
        private val OVERVIEW_BYTES = 128..8_192

        /** Bytes of figures that the lease holder may put into an overview, which it sends to [instances] instances each [interval]. */
        public fun overviewBytes(
            linkMegabits: Double,
            instances: Int,
            interval: Duration,
        ): Int {
            val perSecond = (if (linkMegabits > 0) linkMegabits else MIN_LINK_MEGABITS) * BYTES_PER_MEGABIT * LINK_SHARE
            val perMessage = perSecond * interval.toMillis() / MILLIS_PER_SECOND / maxOf(1, instances)
            return perMessage.toInt().coerceIn(OVERVIEW_BYTES)
        }
    }
}
