package io.buckthornlever.core.process.configuration

import io.buckthornlever.api.process.AccountTable
import io.buckthornlever.api.process.ClientAccount
import io.buckthornlever.api.process.Configuration
import io.buckthornlever.api.process.InstanceId
import io.buckthornlever.api.process.ObjectVersion
import io.buckthornlever.api.process.Pool
import io.buckthornlever.api.process.PoolTable
import io.buckthornlever.api.process.Route
import io.buckthornlever.api.process.RouteTable
import io.buckthornlever.core.process.configuration.ConfigurationCommand.ListTables
import io.buckthornlever.core.process.configuration.ConfigurationCommand.PullTables
import io.buckthornlever.core.process.configuration.ConfigurationCommand.WatchTables
import io.buckthornlever.core.process.membership.MemberAddress
import io.buckthornlever.core.process.membership.Moment
import io.buckthornlever.core.process.membership.TableRevisions
import kotlin.random.Random

/**
 * Brings the newest valid tables of store, peers and settings into effect on one entry instance. A table never goes back to a lower
 * revision. Deterministic; not safe for use by several threads.
 *
 * @param initial tables of the settings file; they take effect at once when valid
 */
public class ConfigurationSync(
    private val self: MemberAddress,
    private val settings: ConfigurationSettings,
    validator: ConfigurationValidator,
    private val random: Random,
    initial: Configuration = Configuration(),
) {
    private val selector = ConfigurationSelector(validator)
    private val routes = TableHistory(Route.serializer()) { it.name.value }
    private val pools = TableHistory(Pool.serializer()) { it.name.value }
    private val accounts = TableHistory(ClientAccount.serializer()) { it.id.value }
    private val out = ArrayList<ConfigurationCommand>()
    private var active = Configuration()
    private var refused = Configuration()
    private var watcher = false
    private var storeRevision: ObjectVersion? = null
    private var storeCallPending = false
    private var retryAt: Long? = null
    private var failures = 0
    private var startedAt: Long? = null
    private var pull: Pull? = null
    private var newerPeer: NewerPeer? = null
    private var pullWholeTables = false

    private class Pull(
        val from: InstanceId,
        val deadline: Long,
    )

    private class NewerPeer(
        val from: MemberAddress,
        val revisions: TableRevisions,
    )

    init {
        if (validator.check(initial).isEmpty()) activate(initial)
    }

    /** Tables in effect. */
    public val configuration: Configuration get() = active

    /** Revisions in effect. */
    public val revisions: TableRevisions get() = TableRevisions.of(active)

    /** Revisions of the newest tables that were refused; 0 for a table without one. */
    public val refusedRevisions: TableRevisions get() = TableRevisions.of(refused)

    /** True when this instance watches the store for its failure domain. */
    public val isWatcher: Boolean get() = watcher

    /** True while the last store call failed. */
    public val storeIsDown: Boolean get() = failures > 0

    /** Changes that an instance with [since] lacks; the response to [PullTables]. */
    public fun deltaSince(since: TableRevisions): ConfigurationDelta =
        ConfigurationDelta(
            routes = routes.delta(since.routes),
            pools = pools.delta(since.pools),
            domainsOut = active.pools.domainsOut,
            accounts = accounts.delta(since.accounts),
        )

    /** Processes [event] at [now]. */
    public fun handle(event: ConfigurationEvent, now: Moment): List<ConfigurationCommand> {
        when (event) {
            ConfigurationEvent.Tick -> onTick(now)
            is ConfigurationEvent.LiveChanged -> onLiveChanged(event.members, now)
            is ConfigurationEvent.Offered -> offer(event.tables, event.source)
            is ConfigurationEvent.StoreAnswered -> onStoreAnswered(event, now)
            ConfigurationEvent.StoreFailed -> onStoreFailed(now)
            is ConfigurationEvent.RevisionsHeard -> onRevisionsHeard(event.from, event.revisions, now)
            is ConfigurationEvent.DeltaReceived -> onDeltaReceived(event, now)
            is ConfigurationEvent.PullFailed -> onPullFailed(event.from, now)
        }
        val commands = ArrayList(out)
        out.clear()
        return commands
    }

    private fun onTick(now: Moment) {
        val started = startedAt ?: now.nanos
        startedAt = started
        val running = pull
        if (running != null && now.nanos >= running.deadline) onPullFailed(running.from, now)
        val retry = retryAt
        if (retry != null && now.nanos < retry) return
        retryAt = null
        val empty = active.routes.revision == 0L && active.pools.revision == 0L
        val waited = now.nanos - started >= settings.startupWait.toNanos()
        if (watcher || (empty && waited)) callStore()
    }

    private fun callStore() {
        if (storeCallPending) return
        storeCallPending = true
        val since = storeRevision
        out.add(if (since == null || !watcher) ListTables else WatchTables(since))
    }

    private fun onLiveChanged(members: List<MemberAddress>, now: Moment) {
        val domain = self.failureDomain
        val candidates = members.filter { it.failureDomain == domain }
        val chosen = RendezvousHashing.choose("watch|$domain", candidates, settings.watchersPerDomain) { it.id.value }
        val chosenNow = chosen.any { it.id == self.id }
        // A new watcher lists first, because changes since its last call may have been missed.
        if (chosenNow && !watcher) storeRevision = null
        watcher = chosenNow
        if (watcher && retryAt == null) callStore()
        if (pullInProgress(now) == null) pullNewer(now)
    }

    private fun pullInProgress(now: Moment): Pull? = pull?.takeIf { now.nanos < it.deadline }

    private fun onStoreAnswered(event: ConfigurationEvent.StoreAnswered, now: Moment) {
        storeCallPending = false
        failures = 0
        val known = storeRevision
        // A lagging replica of the store may answer with an older state, which must not move the watch back.
        if (known == null || event.revision > known) storeRevision = event.revision
        offer(event.tables, ConfigurationSource.STORE)
        if (watcher) callStore() else scheduleRetry(now)
    }

    private fun onStoreFailed(now: Moment) {
        storeCallPending = false
        failures++
        // After an outage the store is listed, because it may no longer know the changes since the last watch.
        storeRevision = null
        scheduleRetry(now)
    }

    private fun scheduleRetry(now: Moment) {
        val limit = settings.maxBackoff.toNanos()
        val wait = minOf(limit, settings.minBackoff.toNanos() shl minOf(failures, MAX_BACKOFF_DOUBLINGS))
        retryAt = now.nanos + wait / 2 + random.nextLong(wait / 2 + 1)
    }

    private fun onRevisionsHeard(from: MemberAddress, heard: TableRevisions, now: Moment) {
        if (!revisions.isBehind(heard)) return
        val known = newerPeer
        if (known == null || known.revisions.isBehind(heard) || pullInProgress(now) == null) newerPeer = NewerPeer(from, heard)
        if (pullInProgress(now) == null) pullNewer(now)
    }

    private fun pullNewer(now: Moment) {
        val source = newerPeer ?: return
        newerPeer = null
        if (!revisions.isBehind(source.revisions)) return
        pull = Pull(source.from.id, now.nanos + settings.pullTimeout.toNanos())
        out.add(PullTables(source.from, if (pullWholeTables) TableRevisions() else revisions))
    }

    private fun onDeltaReceived(event: ConfigurationEvent.DeltaReceived, now: Moment) {
        if (pull?.from == event.from) pull = null
        val tables = assemble(event.delta)
        pullWholeTables = isIncomplete(event.delta, tables)
        offer(tables, ConfigurationSource.PEER)
        if (pull == null) pullNewer(now)
    }

    private fun isIncomplete(delta: ConfigurationDelta, tables: Configuration): Boolean =
        (delta.routes != null && tables.routes.revision == 0L) ||
            (delta.pools != null && tables.pools.revision == 0L) ||
            (delta.accounts != null && tables.accounts.revision == 0L)

    /** Tables that result from [delta]. One whose delta does not apply is left out; the next pull then requests whole tables. */
    private fun assemble(delta: ConfigurationDelta): Configuration {
        val newRoutes = delta.routes?.let { change -> routes.apply(change)?.let { RouteTable(change.revision, it) } }
        val newPools = delta.pools?.let { change -> pools.apply(change)?.let { PoolTable(change.revision, it, delta.domainsOut) } }
        val newAccounts = delta.accounts?.let { change -> accounts.apply(change)?.let { AccountTable(change.revision, it) } }
        return Configuration(newRoutes ?: RouteTable(), newPools ?: PoolTable(), newAccounts ?: AccountTable())
    }

    private fun onPullFailed(from: InstanceId, now: Moment) {
        if (pull?.from != from) return
        pull = null
        pullNewer(now)
    }

    private fun offer(tables: Configuration, source: ConfigurationSource) {
        if (!revisions.isBehind(TableRevisions.of(tables))) return
        val choice = selector.choose(active, refused, tables)
        val refusedBefore = refusedRevisions
        refused = choice.refused
        if (choice.findings.isNotEmpty() && refusedBefore.isBehind(refusedRevisions)) {
            out.add(ConfigurationCommand.Refused(refusedRevisions, choice.findings))
        }
        if (revisions.isBehind(TableRevisions.of(choice.configuration))) {
            activate(choice.configuration)
            out.add(ConfigurationCommand.Activate(active, source))
        }
    }

    private fun activate(configuration: Configuration) {
        if (configuration.routes.revision >
            active.routes.revision
        ) {
            routes.replace(configuration.routes.routes, configuration.routes.revision)
        }
        if (configuration.pools.revision > active.pools.revision) pools.replace(configuration.pools.pools, configuration.pools.revision)
        if (configuration.accounts.revision > active.accounts.revision) {
            accounts.replace(configuration.accounts.accounts, configuration.accounts.revision)
        }
        active = configuration
    }

    private companion object {
        const val MAX_BACKOFF_DOUBLINGS = 10
    }
}
