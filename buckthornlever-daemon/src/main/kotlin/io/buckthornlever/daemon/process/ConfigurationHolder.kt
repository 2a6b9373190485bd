package io.buckthornlever.daemon.process

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.map
import io.buckthornlever.api.process.Configuration
import io.buckthornlever.api.process.ConfigurationError
import io.buckthornlever.api.process.ObjectKey
import io.buckthornlever.api.process.StoredObject
import io.buckthornlever.core.process.TableCodec
import java.util.concurrent.atomic.AtomicReference

/** The configuration in effect. It only moves forward: of each table the highest revision wins. */
internal class ConfigurationHolder(
    private val log: EventLog,
    private val metrics: DaemonMetrics,
) {
    private val current = AtomicReference(Configuration())

    fun get(): Configuration = current.get()

    /** Merges [other] into the configuration in effect. */
    fun merge(other: Configuration) {
        val before = current.getAndUpdate { it.merge(other) }
        announce(before, current.get())
    }

    /** Takes over a stored table; an invalid one is refused and the one in effect stays. */
    fun offer(stored: StoredObject) {
        val text = stored.value ?: return
        val parsed = parse(stored.key, text, stored.version.value) ?: return
        parsed.fold(
            success = ::merge,
            failure = { log.write(LogEvent.CONFIGURATION_REFUSED, "table" to stored.key, "error" to it) },
        )
    }

    private fun parse(
        key: ObjectKey,
        text: String,
        revision: Long,
    ): Result<Configuration, ConfigurationError>? =
        when (key) {
            ObjectKey.ROUTES -> TableCodec.routes(text, revision).map { Configuration(routes = it) }
            ObjectKey.POOLS -> TableCodec.pools(text, revision).map { Configuration(pools = it) }
            ObjectKey.ACCOUNTS -> TableCodec.accounts(text, revision).map { Configuration(accounts = it) }
            else -> null
        }

    private fun announce(
        before: Configuration,
        after: Configuration,
    ) {
        announce("routes", before.routes.revision, after.routes.revision)
        announce("pools", before.pools.revision, after.pools.revision)
        announce("accounts", before.accounts.revision, after.accounts.revision)
    }

    private fun announce(
        table: String,
        before: Long,
        after: Long,
    ) {
        if (after <= before) return
        metrics.revision.labelValues(table).set(after.toDouble())
        log.write(LogEvent.CONFIGURATION_IN_EFFECT, "table" to table, "revision" to after)
    }
}
