package io.buckthornlever.bench.request

import io.buckthornlever.api.process.InstanceId
import io.buckthornlever.api.process.Route
import io.buckthornlever.api.request.ErrorCode
import io.buckthornlever.api.request.ExecutionStatus
import io.buckthornlever.api.request.RequestError
import io.buckthornlever.api.request.RequestId
import io.buckthornlever.api.request.WorkClass
import io.buckthornlever.core.process.CallOutcome
import io.buckthornlever.core.request.AdmissionEvent
import io.buckthornlever.core.request.AdmissionQueue
import io.buckthornlever.core.request.AdmissionRequest
import io.buckthornlever.core.request.RoutingRequest
import io.buckthornlever.core.request.Selection
import io.buckthornlever.core.request.UpstreamSelector
import java.time.Duration

/** One entry instance: takes calls, queues them, dispatches them to engines and repeats calls that an engine refused. */
internal class SimulatedEntry(
    val id: InstanceId,
    val selector: UpstreamSelector,
    private val queue: AdmissionQueue,
    private val engines: Map<String, SimulatedEngine>,
    private val routes: Map<WorkClass, Route>,
    private val loop: EventLoop,
) {
    private val calls = HashMap<RequestId, SimulatedCall>()

    fun accept(call: SimulatedCall) {
        calls[call.id] = call
        enqueue(call)
    }

    /** Set when the instance has died: it starts nothing any more. */
    var dead: Boolean = false

    /** Starts what can be started; to be called when a place may have become free. */
    fun poll() {
        if (dead) return
        for (event in queue.poll(::select)) {
            val call = calls.getValue(event.request.id)
            when (event) {
                is AdmissionEvent.Started -> dispatch(call, event)
                is AdmissionEvent.Refused -> refuse(call, event.error)
            }
        }
    }

    private fun enqueue(call: SimulatedCall) {
        val route = routes.getValue(call.workClass)
        val error =
            queue.offer(AdmissionRequest(call.id, call.account, route.pools[0], call.workClass, call.cost, call.deadline - expected(call)))
        if (error != null) refuse(call, error)
        poll()
    }

    private fun select(request: AdmissionRequest): Selection {
        val call = calls.getValue(request.id)
        return selector.select(
            RoutingRequest(routes.getValue(call.workClass), call.prefix, call.id.hashCode().toLong(), call.tried),
        )
    }

    private fun dispatch(
        call: SimulatedCall,
        event: AdmissionEvent.Started,
    ) {
        val upstream = event.selection.upstream.id
        val sentAt = loop.nanos
        loop.after(NETWORK) {
            val accepted =
                engines.getValue(upstream.value).submit(
                    call,
                    { loop.after(NETWORK) { call.firstByteAt = loop.nanos } },
                    {
                        loop.after(NETWORK) {
                            call.finishedAt = loop.nanos
                            val firstByte = Duration.ofNanos((call.firstByteAt ?: loop.nanos) - sentAt)
                            selector.onCallFinished(upstream, CallOutcome.Answered(firstByte, call.workClass))
                            queue.complete(event.request, call.cost)
                            calls.remove(call.id)
                            poll()
                        }
                    },
                )
            if (!accepted) loop.after(NETWORK) { repeat(call, event) }
        }
    }

    private fun repeat(
        call: SimulatedCall,
        event: AdmissionEvent.Started,
    ) {
        selector.onCallFinished(event.selection.upstream.id, CallOutcome.Refused)
        queue.complete(event.request, 0.0)
        call.tried.add(event.selection.upstream.id)
        if (call.tried.size < MAX_ATTEMPTS) {
            enqueue(call)
        } else {
            refuse(call, RequestError(ErrorCode.OVERLOADED, ExecutionStatus.NOT_RUN, "refused by $MAX_ATTEMPTS upstreams"))
            poll()
        }
    }

    private fun refuse(
        call: SimulatedCall,
        error: RequestError,
    ) {
        call.error = error
        calls.remove(call.id)
    }

    /** Time that the call itself takes at ordinary speed. */
    private fun expected(call: SimulatedCall): Long = call.promptTokens * PROMPT_TOKEN_NANOS + call.outputTokens * OUTPUT_TOKEN_NANOS

    private companion object {
        val NETWORK: Duration = Duration.ofMillis(1)
        const val MAX_ATTEMPTS = 3
        const val PROMPT_TOKEN_NANOS = 150_000L
        const val OUTPUT_TOKEN_NANOS = 32_000_000L
    }
}
