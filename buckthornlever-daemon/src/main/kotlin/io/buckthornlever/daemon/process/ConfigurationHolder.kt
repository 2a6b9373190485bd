package io.buckthornlever.daemon.process

import io.buckthornlever.api.process.Configuration
import io.buckthornlever.gateway.process.EventLog
import java.util.concurrent.atomic.AtomicReference

/** Holds the configuration in effect. Revisions never go back: of each table the highest revision wins. */
internal class ConfigurationHolder(
    private val log: EventLog,
    private val metrics: DaemonMetrics,
) {
    private val current = AtomicReference(Configuration())

    fun get(): Configuration = current.get()

    /** Merges [other] into the configuration in effect. */
    fun merge(other: Configuration) {
        val before = current.getAndUpdate { it.merge(other) }
        reportRevisions(before, current.get())
    }

    private fun reportRevisions(
        before: Configuration,
        after: Configuration,
    ) {
        reportRevisions("routes", before.routes.revision, after.routes.revision)
        reportRevisions("pools", before.pools.revision, after.pools.revision)
        reportRevisions("accounts", before.accounts.revision, after.accounts.revision)
    }

    private fun reportRevisions(
        table: String,
        before: Long,
        after: Long,
    ) {
        if (after <= before) return
        metrics.revision.labelValues(table).set(after.toDouble())
        log.write(LogEvent.CONFIGURATION_IN_EFFECT, "table" to table, "revision" to after)
    }
}
