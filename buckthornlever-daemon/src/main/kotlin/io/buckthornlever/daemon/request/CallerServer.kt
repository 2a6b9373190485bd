package io.buckthornlever.daemon.request

import io.buckthornlever.daemon.process.Settings
import io.javalin.Javalin
import io.javalin.compression.CompressionStrategy
import io.javalin.http.Context
import io.javalin.http.HandlerType
import org.eclipse.jetty.server.ServerConnector
import org.eclipse.jetty.util.thread.QueuedThreadPool

/** HTTP server for callers. */
internal class CallerServer(
    private val settings: Settings,
    private val pipeline: RequestPipeline,
) : AutoCloseable {
    private val app: Javalin =
        Javalin.create { config ->
            config.startup.showJavalinBanner = false
            config.startup.showOldJavalinVersionWarning = false
            config.http.compressionStrategy = CompressionStrategy.NONE
            config.jetty.threadPool = QueuedThreadPool(settings.limits.requestThreads, MIN_THREADS).apply { name = "caller" }
            config.jetty.modifyHttpConfiguration {
                it.requestHeaderSize = settings.limits.headerBytes
                it.sendServerVersion = false
                it.sendDateHeader = false
            }
            config.jetty.modifyServer { server ->
                server.connectors.filterIsInstance<ServerConnector>().forEach { it.idleTimeout = settings.limits.idleConnection.toMillis() }
            }
            METHODS.forEach { method ->
                config.routes.addHttpHandler(method, "/", ::handle)
                config.routes.addHttpHandler(method, "/<path>", ::handle)
            }
        }

    /** Port in use after [start]. */
    val port: Int get() = app.port()

    fun start() {
        app.start(settings.listen.address, settings.listen.callerPort)
    }

    override fun close() {
        app.stop()
    }

    private fun handle(context: Context) {
        pipeline.handle(CallerExchange(context, RequestIds.fromCaller(context.req().getHeader(CallerExchange.REQUEST_ID_HEADER))))
    }

    private companion object {
        const val MIN_THREADS = 8
        val METHODS =
            listOf(
                HandlerType.GET,
                HandlerType.HEAD,
                HandlerType.POST,
                HandlerType.PUT,
                HandlerType.PATCH,
                HandlerType.DELETE,
                HandlerType.OPTIONS,
            )
    }
}
