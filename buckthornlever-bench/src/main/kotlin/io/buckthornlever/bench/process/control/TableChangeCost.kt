package io.buckthornlever.bench.process.control

import io.buckthornlever.api.process.Configuration
import io.buckthornlever.core.process.TableCodec
import io.buckthornlever.core.process.configuration.ConfigurationEvent
import io.buckthornlever.core.process.configuration.ConfigurationSettings
import io.buckthornlever.core.process.configuration.ConfigurationSource
import io.buckthornlever.core.process.configuration.ConfigurationSync
import io.buckthornlever.core.process.configuration.ConfigurationValidator
import io.buckthornlever.core.process.membership.Moment
import io.buckthornlever.core.process.membership.TableRevisions
import java.lang.management.ManagementFactory
import kotlin.random.Random

/** What one change of one pool costs an instance that pulls it from a peer, by the number of upstreams in the table. */
internal object TableChangeCost {
    private const val CHANGES = 40
    private const val NANOS_PER_MILLI = 1e6
    private val start = Moment(0, 0)

    /** Processor time per change in milliseconds, on both sides together. */
    fun millis(upstreams: Int): Double {
        val cluster = ControlCluster(2, 1)
        val nodes = cluster.up
        val sender = sync(nodes[0])
        val receiver = sync(nodes[1])
        var tables = TableFixture.configuration(upstreams, 1)
        listOf(sender, receiver).forEach { offer(it, tables) }
        val threads = ManagementFactory.getThreadMXBean()
        var before = 0L
        repeat(2 * CHANGES) { index ->
            if (index == CHANGES) before = threads.currentThreadCpuTime
            tables = TableFixture.changed(tables, index + 2L)
            offer(sender, tables)
            val delta = sender.deltaSince(receiver.revisions)
            receiver.handle(ConfigurationEvent.DeltaReceived(nodes[0].address.id, delta), start)
            check(receiver.revisions.pools == index + 2L)
        }
        return (threads.currentThreadCpuTime - before) / NANOS_PER_MILLI / CHANGES
    }

    /** Size of the stored pool table, in bytes. */
    fun storedBytes(upstreams: Int): Int = TableCodec.encode(TableFixture.configuration(upstreams, 1).pools).length

    private fun offer(sync: ConfigurationSync, tables: Configuration) {
        sync.handle(ConfigurationEvent.Offered(tables, ConfigurationSource.STORE), start)
        check(!sync.revisions.isBehind(TableRevisions.of(tables)))
    }

    private fun sync(node: ControlNode) = ConfigurationSync(node.address, ConfigurationSettings(), ConfigurationValidator(), Random(1))
}
