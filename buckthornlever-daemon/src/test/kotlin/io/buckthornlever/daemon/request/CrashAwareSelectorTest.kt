package io.buckthornlever.daemon.request

import io.buckthornlever.api.connection.UpstreamId
import io.buckthornlever.api.process.FailureDomain
import io.buckthornlever.api.process.InstanceId
import io.buckthornlever.api.process.Pool
import io.buckthornlever.api.process.PoolName
import io.buckthornlever.api.process.PoolTable
import io.buckthornlever.api.process.Route
import io.buckthornlever.api.process.RouteMatch
import io.buckthornlever.api.process.RouteName
import io.buckthornlever.api.process.ServiceKind
import io.buckthornlever.api.process.UpstreamSpec
import io.buckthornlever.api.request.RequestId
import io.buckthornlever.api.request.WorkClass
import io.buckthornlever.api.version.VersionLabel
import io.buckthornlever.core.process.Fingerprint
import io.buckthornlever.core.process.ManualClock
import io.buckthornlever.core.request.CandidateSelector
import io.buckthornlever.core.request.SelectionQuery
import io.buckthornlever.daemon.connection.UpstreamRegistry
import io.buckthornlever.daemon.process.CrashRegistry
import io.buckthornlever.http.connection.HttpUpstreamClient
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

internal class CrashAwareSelectorTest {
    private val specs = (0 until 4).map {
        UpstreamSpec(UpstreamId("u$it"), "http://127.0.0.1:1", FailureDomain("d$it"), VersionLabel("v1"))
    }
    private val pools = PoolTable(pools = listOf(Pool(PoolName("p"), ServiceKind.MODEL, specs)))
    private val route = Route(RouteName("r"), RouteMatch("/v1"), ServiceKind.MODEL, WorkClass.LONG, listOf(PoolName("p")))
    private val fingerprint = Fingerprint.of("POST", "/v1/completions", "{}".toByteArray())
    private val crashes = CrashRegistry(InstanceId("entry-0"), ManualClock())

    // Guards against a stream that waits forever after a crash because the preferred upstream has no capacity for this instance.
    @Test
    fun `a granted attempt runs elsewhere when the preferred upstream has no capacity`() {
        crashes.recordDeath(fingerprint, specs[0].id)
        specs.drop(1).forEachIndexed { index, usable ->
            val choice = access { it == usable.id }.choose(query(), fingerprint, RequestId("a$index"), mayHaveRun = true)
            assertEquals(usable.id, assertIs<CrashAwareSelector.Choice.Use>(choice).upstream.id)
            crashes.release(fingerprint, RequestId("a$index"))
        }
    }

    // Guards against sending a request again to an upstream that it has already crashed.
    @Test
    fun `a granted attempt never runs on an upstream that died under the same content`() {
        crashes.recordDeath(fingerprint, specs[0].id)
        val choice = access { it == specs[0].id }.choose(query(), fingerprint, RequestId("a"), mayHaveRun = true)
        assertIs<CrashAwareSelector.Choice.None>(choice)
    }

    private fun query(): SelectionQuery = SelectionQuery(route, pools)

    private fun access(usable: (UpstreamId) -> Boolean): CrashAwareSelector {
        val selector = CandidateSelector { query -> specs.firstOrNull { it.id !in query.excluded && usable(it.id) } }
        return CrashAwareSelector(selector, HttpUpstreamClient(), UpstreamRegistry(), crashes)
    }
}
