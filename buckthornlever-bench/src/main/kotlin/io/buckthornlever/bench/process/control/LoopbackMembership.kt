package io.buckthornlever.bench.process.control

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import io.buckthornlever.api.process.FailureDomain
import io.buckthornlever.api.process.InstanceId
import io.buckthornlever.api.process.InstanceList
import io.buckthornlever.api.process.PlatformError
import io.buckthornlever.api.process.PlatformInstance
import io.buckthornlever.api.process.SystemClock
import io.buckthornlever.bench.process.Measurement
import io.buckthornlever.bench.process.SiteFixture
import io.buckthornlever.core.process.membership.MemberState
import io.buckthornlever.daemon.process.control.ControlListener
import io.buckthornlever.daemon.process.control.ControlPlane
import io.buckthornlever.daemon.process.control.ControlSettings
import io.buckthornlever.http.process.HttpObjectStore
import io.buckthornlever.peer.process.PeerKeys
import io.buckthornlever.standin.process.ObjectStoreStandIn
import java.util.concurrent.CopyOnWriteArrayList

/** Leave and death among control planes that run with real threads and loopback sockets. */
internal class LoopbackMembership(
    private val measurements: MutableList<Measurement>,
    private val violations: MutableList<String>,
) {
    private val keys = checkNotNull(PeerKeys.parse("cd".repeat(32)).get())

    fun run() = SIZES.forEach { measure(it) }

    private fun measure(size: Int) {
        val listed = CopyOnWriteArrayList<PlatformInstance>()
        val list = object : InstanceList {
            override fun instances(): Result<List<PlatformInstance>, PlatformError> = Ok(listed.toList())
        }
        ObjectStoreStandIn().start().use { store ->
            val planes = List(size) { plane(it, HttpObjectStore(store.url), list) }
            try {
                planes.forEach {
                    it.start()
                    listed.add(PlatformInstance(it.address.id, it.address.host, it.address.port, it.address.failureDomain, "entry"))
                }
                SiteFixture.awaitOrFail("$size instances know each other") { planes.all { it.liveMembers.size == size } }
                val leaving = planes.last()
                record("loopback leave, $size members", MAX_LEAVE, planes.dropLast(1), leaving, MemberState.LEFT) { leaving.leave() }
                val dying = planes[size - 2]
                record("loopback death, $size members", MAX_DEATH, planes.dropLast(2), dying, MemberState.DEAD) { dying.close() }
            } finally {
                planes.forEach { it.close() }
            }
        }
    }

    private fun record(
        metric: String,
        max: Double,
        others: List<ControlPlane>,
        victim: ControlPlane,
        state: MemberState,
        stop: () -> Unit,
    ) {
        val id = victim.address.id
        val start = System.nanoTime()
        stop()
        SiteFixture.awaitOrFail("$metric is known") { others.none { plane -> plane.liveMembers.any { it.id == id } } }
        val seconds = (System.nanoTime() - start) / NANOS
        val states = others.map { plane -> plane.snapshot()?.members?.firstOrNull { it.address.id == id }?.state }
        measurements.add(Measurement(metric, "s", null, seconds))
        if (seconds > max) violations.add("$metric took $seconds s, allowed are $max s")
        if (states.any { it != state }) violations.add("$metric: states are ${states.distinct()}")
    }

    private fun plane(index: Int, store: HttpObjectStore, list: InstanceList): ControlPlane =
        ControlPlane(
            settings = ControlSettings(
                ControlNode.SITE,
                InstanceId("loop-%02d".format(index)),
                FailureDomain("zone-${index % 3}"),
                "127.0.0.1",
                seed = index.toLong(),
            ),
            keys = { keys },
            store = store,
            instances = list,
            clock = SystemClock,
            listener = object : ControlListener {},
            onError = { violations.add("control thread failed: $it") },
        )

    private companion object {
        val SIZES = listOf(3, 9, 20)
        const val NANOS = 1e9
        const val MAX_LEAVE = 3.0
        const val MAX_DEATH = 10.0
    }
}
