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
import java.time.Duration

/**
 * Resolves the route and the client account of each request, and starts or refuses it.
 *
 * @param isStateRestored returns true once the state that earlier processes have stored is known, as far as admission relies on it
 * @param checkForPause called before each decision, so that a pause of the instance is noticed before cached state is relied on
 */
internal class RequestAdmission(
    private val context: ServingContext,
    private val isStateRestored: () -> Boolean,
    private val checkForPause: () -> Unit,
) : CallerService {
    override val limits: CallerLimits get() = context.tableCache.table?.limits ?: CallerLimits()

    override val areLimitsConfirmed: Boolean
        get() {
            checkForPause()
            return context.tableCache.table != null && context.tableCache.allowsDenial(now())
        }

    override var draining: Boolean = false

    /** True once the process ends too soon to serve new requests completely; they are then refused. */
    var refusesNewRequests: Boolean = false

    private val parked =
        ParkedRequests(context.loop) { request, reply -> serve(request, context.protocol.decodeRequest(request.head), reply) }

    /** Serves the parked requests; called once what they waited for is known. */
    fun releaseParked(): Unit = parked.releaseAll()

    override fun serve(
        request: CallerRequest,
        reply: CallerReply,
    ): CallerExchange {
        checkForPause()
        val head = context.protocol.decodeRequest(request.head)
        if (refusesNewRequests) return refuse(head, reply, "the process is about to end")
        if (context.tableCache.table != null && isStateRestored()) return serve(request, head, reply)
        val maxWait = head.timeLeft?.dividedBy(RequestLimits.PARK_TIME_DIVISOR) ?: RequestLimits.MAX_PARK_TIME
        return parked.park(request, reply, minOf(maxWait, RequestLimits.MAX_PARK_TIME))
    }

    private fun serve(
        request: CallerRequest,
        head: CallerRequestHead,
        reply: CallerReply,
    ): CallerExchange {
        val table = context.tableCache.table ?: return refuse(head, reply, "no table")
        val host = request.head.headers().get(HttpHeaderNames.HOST).orEmpty().substringBefore(':')
        val path = request.head.uri().substringBefore('?')
        val route = table.route(host, path) ?: return deny(head, reply, HttpResponseStatus.NOT_FOUND, "no route")
        if (route.public || table.accounts.isEmpty()) return admit(request, head, table, route, null, reply)
        val account = head.apiKey?.let(table::account) ?: return deny(head, reply, HttpResponseStatus.UNAUTHORIZED, "unknown key")
        if (!context.tableCache.allowsKeyedRequests(now())) return refuse(head, reply, "the table is not confirmed")
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
        val fingerprint = RequestFingerprint.of(account, request.head.uri(), request.body)
        context.poison.refusalReason(fingerprint, head.sharedPartIds)?.let {
            return refuse(head, reply, it, RequestLimits.RETRY_AFTER_POISON)
        }
        val service = chooseService(route, head)
        if (table.service(service) == null) return refuse(head, reply, "service $service is not in the table")
        val timeLeft = minOf(head.timeLeft ?: route.timeout, route.timeout)
        val deadline = request.arrivedNanos + timeLeft.toNanos()
        val proxied = ProxiedRequest(context, request, head, route, account, service, reply, deadline, fingerprint)
        proxied.start()
        return proxied
    }

    /** Chooses one of the services of [route] by weight; all instances choose the same one for the same request. */
    private fun chooseService(
        route: ServedRoute,
        head: CallerRequestHead,
    ): String {
        val total = route.services.sumOf { it.weight }
        if (route.services.size == 1 || total <= 0) return route.services.first().service
        var position = Math.floorMod(StableHash.of(head.requestId.orEmpty()), total)
        return route.services
            .first { target ->
                position -= target.weight
                position < 0
            }.service
    }

    /** Refuses with the final [status], or asks the caller to retry while the serving table may be out of date. */
    private fun deny(
        head: CallerRequestHead,
        reply: CallerReply,
        status: HttpResponseStatus,
        reason: String,
    ): CallerExchange =
        if (context.tableCache.allowsDenial(
                now(),
            )
        ) {
            respondRefused(head, reply, status, reason, GatewayResponseHeaders.empty())
        } else {
            refuse(head, reply, "$reason in an unconfirmed table")
        }

    private fun refuse(
        head: CallerRequestHead,
        reply: CallerReply,
        reason: String,
        retryAfter: Duration = RequestLimits.RETRY_AFTER_UNCONFIRMED,
    ): CallerExchange =
        respondRefused(head, reply, HttpResponseStatus.SERVICE_UNAVAILABLE, reason, GatewayResponseHeaders.retryAfter(retryAfter))

    private fun respondRefused(
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
            "table" to context.tableCache.table?.version,
            "tableAgeMillis" to context.tableCache.age(now())?.toMillis(),
        )
        reply.respond(status, headers, ByteArray(0))
        return FinishedExchange
    }

    private fun now(): Long = context.clock.monotonicNanos()

    private object FinishedExchange : CallerExchange {
        override fun onCallerDisconnected() = Unit

        override fun onWritabilityChanged(writable: Boolean) = Unit
    }
}
