package io.buckthornlever.standin.connection

import io.javalin.Javalin
import io.javalin.compression.CompressionStrategy
import io.javalin.config.RoutesConfig
import io.javalin.util.JavalinBindException
import org.eclipse.jetty.io.EndPoint
import org.eclipse.jetty.util.thread.QueuedThreadPool
import java.util.Collections
import java.util.WeakHashMap

/** HTTP server of one stand-in on an ephemeral loopback port that it keeps over restarts. */
internal class StandInServer(
    private val maxThreads: Int,
    private val register: (RoutesConfig) -> Unit,
) {
    private val silenced: MutableSet<EndPoint> = Collections.synchronizedSet(Collections.newSetFromMap(WeakHashMap()))
    private var javalin: Javalin? = null
    private var connector: TrackingConnector? = null

    @Volatile
    private var port = 0

    @Volatile
    private var open = false

    val url: String
        get() = "http://$LOOPBACK:$port"

    val isOpen: Boolean
        get() = open

    @Synchronized
    fun start() {
        if (open) return
        javalin = bind()
        port = checkNotNull(connector).localPort
        open = true
    }

    /** Tries again while the operating system still holds the port of the server that was aborted before. */
    private fun bind(): Javalin {
        repeat(BIND_ATTEMPTS - 1) {
            try {
                return create().start()
            } catch (_: JavalinBindException) {
                Thread.sleep(BIND_PAUSE_MILLIS)
            }
        }
        return create().start()
    }

    /** Begins the end of the process; false when it is down already. Call [abort] next. */
    @Synchronized
    fun markDown(): Boolean {
        val wasOpen = open
        open = false
        return wasOpen
    }

    /** Closes the listening socket and every connection without an HTTP answer, as a process death does. */
    fun abort() {
        val stopped = detach() ?: return
        Thread({ stopped.stop() }, "standin-stop").apply { isDaemon = true }.start()
    }

    fun close() {
        detach()?.stop()
    }

    /** From now on no byte is delivered on connections that are open now; new connections work. */
    fun silenceOpenConnections() {
        connector?.connectedEndPoints?.let { silenced.addAll(it) }
    }

    fun silence(endPoint: EndPoint) {
        silenced.add(endPoint)
    }

    fun isSilenced(endPoint: EndPoint): Boolean = endPoint in silenced

    @Synchronized
    private fun detach(): Javalin? {
        val app = javalin ?: return null
        open = false
        javalin = null
        connector?.abort()
        return app
    }

    private fun create(): Javalin =
        Javalin.create { config ->
            config.startup.showJavalinBanner = false
            config.http.compressionStrategy = CompressionStrategy.NONE
            config.http.maxRequestSize = MAX_REQUEST_BYTES
            config.jetty.threadPool = QueuedThreadPool(maxThreads, MIN_THREADS).apply { isDaemon = true }
            config.jetty.addConnector { server, http ->
                TrackingConnector(server, http).also {
                    it.host = LOOPBACK
                    it.port = port
                    it.acceptQueueSize = ACCEPT_QUEUE
                    it.idleTimeout = IDLE_TIMEOUT_MILLIS
                    connector = it
                }
            }
            register(config.routes)
        }

    private companion object {
        const val LOOPBACK = "127.0.0.1"
        const val BIND_ATTEMPTS = 100
        const val BIND_PAUSE_MILLIS = 20L
        const val MIN_THREADS = 8
        const val ACCEPT_QUEUE = 512
        const val MAX_REQUEST_BYTES = 64_000_000L
        const val IDLE_TIMEOUT_MILLIS = 600_000L
    }
}
