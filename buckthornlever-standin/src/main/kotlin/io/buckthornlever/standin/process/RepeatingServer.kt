package io.buckthornlever.standin.process

import java.util.concurrent.atomic.AtomicInteger

/**
 * Server that gives [first] as the response to its first request and sends it again at the time of [copy]. All other requests are
 * answered by [answer], which gets the number of those answered before.
 */
public class RepeatingServer(
    private val first: String,
    private val copy: ResponseCopy,
    private val answer: (RawHttpServer.ReceivedRequest, Int) -> String,
) : AutoCloseable {
    private val server = RawHttpServer(::respond)
    private val answered = AtomicInteger()

    @Volatile
    private var firstRequest: RawHttpServer.ReceivedRequest? = null

    /** Base URL without a trailing slash. */
    public val url: String get() = server.url

    /** Number of requests answered after the first one. */
    public val runs: Int get() = answered.get()

    override fun close(): Unit = server.close()

    private fun respond(request: RawHttpServer.ReceivedRequest) {
        val earlier = firstRequest
        if (earlier == null) {
            firstRequest = request
            request.write(first + copyWhileIdle())
            return
        }
        val number = answered.getAndIncrement()
        val text = answer(request, number)
        if (number == 0) writeBefore(earlier)
        request.write(text)
        if (number == 0 && copy == ResponseCopy.AFTER_ANSWER) earlier.writeUnlessClosed(first)
    }

    private fun copyWhileIdle(): String =
        when (copy) {
            ResponseCopy.WHILE_IDLE -> first
            ResponseCopy.CUT_WHILE_IDLE -> first.take(CUT_CHARACTERS)
            else -> ""
        }

    private fun writeBefore(earlier: RawHttpServer.ReceivedRequest) {
        when (copy) {
            ResponseCopy.CUT_WHILE_IDLE -> earlier.writeUnlessClosed(first.drop(CUT_CHARACTERS))
            ResponseCopy.BEFORE_ANSWER -> earlier.writeUnlessClosed(first)
            ResponseCopy.IN_PIECES -> earlier.writeInPieces(first)
            else -> Unit
        }
    }

    private companion object {
        /** Ends inside the status line. */
        const val CUT_CHARACTERS = 11
    }
}
