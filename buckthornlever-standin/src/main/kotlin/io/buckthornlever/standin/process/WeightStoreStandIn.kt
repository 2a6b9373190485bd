package io.buckthornlever.standin.process

import io.buckthornlever.api.process.Clock
import io.buckthornlever.standin.connection.Exchange
import io.buckthornlever.standin.connection.StandInServer
import io.javalin.config.RoutesConfig
import io.javalin.http.Context
import java.util.SplittableRandom

/**
 * Stand-in for the rate-limited weight store. The content is a pure function of model and version.
 *
 * @property config rate limit and size of the content
 */
public class WeightStoreStandIn(
    public val config: WeightStoreConfig = WeightStoreConfig(),
    clock: Clock = SystemTime,
) : AutoCloseable {
    /** Switches for faults. */
    public val faults: WeightStoreFaults = WeightStoreFaults()

    /** Calls that arrived and were answered. */
    public val records: WeightStoreRecords = WeightStoreRecords()

    private val limit = RateLimit(config.readsPerSecond, clock)
    private val server = StandInServer(MAX_THREADS, ::register)

    /** Base URL without a trailing slash; valid after [start]. */
    public val url: String
        get() = server.url

    /** Starts to listen. */
    public fun start(): WeightStoreStandIn {
        server.start()
        return this
    }

    override fun close(): Unit = server.close()

    /** The content that a download of [model] and [version] delivers. */
    public fun content(
        model: String,
        version: String,
    ): ByteArray = ByteArray(config.bytes).also { SplittableRandom("$model/$version".hashCode().toLong()).nextBytes(it) }

    private fun register(routes: RoutesConfig) {
        routes.get("/v1/weights/{model}/{version}", ::download)
    }

    private fun download(context: Context) {
        records.called()
        val name = context.pathParam("model") + "/" + context.pathParam("version")
        if (faults.delayMillis > 0) Thread.sleep(faults.delayMillis)
        val status = refusal(name)
        if (status != null) {
            if (status == TOO_MANY) context.header("Retry-After", "1")
            context.status(status)
            return
        }
        val content = content(context.pathParam("model"), context.pathParam("version"))
        if (faults.breakDownloads) return breakOff(context, content)
        records.delivered(name)
        context.contentType("application/octet-stream").result(content)
    }

    private fun refusal(name: String): Int? {
        if (faults.outage) return 503
        if (!limit.tryTake()) {
            records.limited()
            return TOO_MANY
        }
        return if (name in faults.missing) 404 else null
    }

    private fun breakOff(
        context: Context,
        content: ByteArray,
    ) {
        records.broken()
        context.res().setContentLength(content.size)
        context.res().outputStream.write(content, 0, content.size / 2)
        context.res().flushBuffer()
        Exchange(context, server).drop()
    }

    private companion object {
        const val MAX_THREADS = 64
        const val TOO_MANY = 429
    }
}
