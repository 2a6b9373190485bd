package io.buckthornlever.gateway.request

import io.buckthornlever.api.serving.CallerLimits
import io.buckthornlever.api.serving.ServedAccount
import io.buckthornlever.api.serving.ServedRoute
import io.buckthornlever.api.serving.ServingTable
import io.buckthornlever.core.serving.StableHash
import io.buckthornlever.gateway.connection.CallerExchange
import io.buckthornlever.gateway.connection.CallerReply
import io.buckthornlever.gateway.connection.CallerRequest
import io.buckthornlever.gateway.connection.CallerService
import io.buckthornlever.gateway.process.GatewayEvent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponseStatus

/**
 * Finds route and client account of each request, and starts its run or refuses it.
 *
 * @param quotasKnown tells whether it is known who grants quotas
 * @param pauseCheck called before each decision, so that a pause of the machine is noticed before any belief is relied on
 */
internal class RequestAdmission(
    private val context: ServingContext,
    private val quotasKnown: () -> Boolean,
    private val pauseCheck: () -> Unit,
) : CallerService {
    override val limits: CallerLimits get() = context.belief.table?.limits ?: CallerLimits()

    override var draining: Boolean = false

    /** True once the process ends too soon for new requests to be served whole. */
    var refusesNewRequests: Boolean = false

    private val parked = ParkedRequests(context.loop) { request, reply -> serve(request, context.protocol.decodeRequest(request.head), reply) }

    /** What requests waited for is known. */
    fun releaseParked(): Unit = parked.releaseAll()

    override fun serve(
        request: CallerRequest,
        reply: CallerReply,
    ): CallerExchange {
        pauseCheck()
        val head = context.protocol.decodeRequest(request.head)
        if (refusesNewRequests) return refuse(head, reply, "the process is about to end")
        if (context.belief.table != null && quotasKnown()) return serve(request, head, reply)
        val longest = head.timeLeft?.dividedBy(RequestLimits.PARK_DIVISOR) ?: RequestLimits.LONGEST_PARK
        return parked.park(request, reply, minOf(longest, RequestLimits.LONGEST_PARK))
    }

    private fun serve(
        request: CallerRequest,
        head: CallerRequestHead,
        reply: CallerReply,
    ): CallerExchange {
        val table = context.belief.table ?: return refuse(head, reply, "no table")
        val host = request.head.headers().get(HttpHeaderNames.HOST).orEmpty().substringBefore(':')
        val path = request.head.uri().substringBefore('?')
        val route = table.route(host, path) ?: return deny(head, reply, HttpResponseStatus.NOT_FOUND, "no route")
        if (route.public || table.accounts.isEmpty()) return admit(request, head, table, route, null, reply)
        val account = head.apiKey?.let(table::account) ?: return deny(head, reply, HttpResponseStatus.UNAUTHORIZED, "unknown key")
        if (!context.belief.allowsKeyedRequests(now())) return refuse(head, reply, "the table is not confirmed")
        return admit(request, head, table, route, account, reply)
    }

    private fun admit(
        request: CallerRequest,
        head: CallerRequestHead,
        table: ServingTable,
        route: ServedRoute,
        account: ServedAccount?,
        reply: CallerReply,
    ): CallerExchange {
        val fingerprint = ServingRun.fingerprintOf(account, request.head.uri(), request.body)
        if (context.crashes.isBlocked(fingerprint)) return refuse(head, reply, "its content broke off earlier runs")
        val service = serviceOf(route, head)
        if (table.service(service) == null) return refuse(head, reply, "service $service is not in the table")
        val timeLeft = minOf(head.timeLeft ?: route.timeout, route.timeout)
        val deadline = request.arrivedNanos + timeLeft.toNanos()
        val run = ServingRun(context, request, head, route, account, service, reply, deadline, fingerprint)
        run.start()
        return run
    }

    /** Weighted choice that all instances make alike for the same request. */
    private fun serviceOf(
        route: ServedRoute,
        head: CallerRequestHead,
    ): String {
        val total = route.services.sumOf { it.weight }
        if (route.services.size == 1 || total <= 0) return route.services.first().service
        var point = Math.floorMod(StableHash.of(head.requestId.orEmpty()), total)
        return route.services
            .first { target ->
                point -= target.weight
                point < 0
            }.service
    }

    /** Answers with a final refusal, or asks the caller to come back while the table may be out of date. */
    private fun deny(
        head: CallerRequestHead,
        reply: CallerReply,
        status: HttpResponseStatus,
        reason: String,
    ): CallerExchange =
        if (context.belief.allowsDenial(
                now(),
            )
        ) {
            answer(head, reply, status, reason, OwnAnswers.plain())
        } else {
            refuse(head, reply, "$reason in an unconfirmed table")
        }

    private fun refuse(
        head: CallerRequestHead,
        reply: CallerReply,
        reason: String,
    ): CallerExchange =
        answer(
            head,
            reply,
            HttpResponseStatus.SERVICE_UNAVAILABLE,
            reason,
            OwnAnswers.retryAfter(RequestLimits.RETRY_AFTER_UNCONFIRMED),
        )

    private fun answer(
        head: CallerRequestHead,
        reply: CallerReply,
        status: HttpResponseStatus,
        reason: String,
        headers: HttpHeaders,
    ): CallerExchange {
        context.metrics.recordRefused(reason)
        context.log.write(
            GatewayEvent.REQUEST_REFUSED,
            "request" to head.requestId,
            "status" to status.code(),
            "reason" to reason,
            "table" to context.belief.table?.version,
            "tableAgeMillis" to context.belief.age(now())?.toMillis(),
        )
        reply.respond(status, headers, ByteArray(0))
        return NoExchange
    }

    private fun now(): Long = context.clock.monotonicNanos()

    private object NoExchange : CallerExchange {
        override fun onCallerDisconnected() = Unit

        override fun onWritabilityChanged(writable: Boolean) = Unit
    }
}
