package io.buckthornlever.standin.connection

import io.javalin.http.Context
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import org.eclipse.jetty.ee10.servlet.ServletContextRequest
import org.eclipse.jetty.io.EndPoint
import java.io.IOException
import java.nio.ByteBuffer
import java.nio.channels.SocketChannel

/** One request together with control over its connection. */
internal class Exchange(
    val context: Context,
    private val server: StandInServer,
) {
    private val endPoint: EndPoint =
        ServletContextRequest.getServletContextRequest(context.req()).connectionMetaData.connection.endPoint

    val isSilenced: Boolean
        get() = server.isSilenced(endPoint)

    /** Closes the connection without an answer. */
    fun drop() {
        endPoint.close()
    }

    fun silence() {
        server.silence(endPoint)
    }

    /** Waits until the client gives up or the server stops, then closes the connection. */
    fun hang() {
        while (server.isOpen && !clientGone()) Thread.sleep(POLL_MILLIS)
        drop()
    }

    /**
     * True when the client has closed the connection. Jetty reads nothing while a request is handled,
     * so the end of the stream is looked for on the socket itself; clients must not pipeline.
     */
    fun clientGone(): Boolean {
        if (!endPoint.isOpen) return true
        val channel = endPoint.transport as? SocketChannel ?: return false
        return try {
            channel.read(ByteBuffer.allocate(1)) < 0
        } catch (_: IOException) {
            true
        }
    }

    fun body(): JsonObject = Json.parseToJsonElement(context.req().inputStream.readBytes().decodeToString()) as JsonObject

    fun answer(
        status: Int,
        body: JsonElement,
    ) {
        context.status(status).contentType("application/json").result(body.toString())
    }

    private companion object {
        const val POLL_MILLIS = 10L
    }
}
