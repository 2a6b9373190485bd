package io.buckthornlever.gateway.process

import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import io.buckthornlever.api.process.Clock
import io.buckthornlever.api.serving.StateChange
import io.buckthornlever.api.serving.StateChanges
import io.buckthornlever.api.serving.StateFailure
import io.buckthornlever.api.serving.StateKind
import io.buckthornlever.api.serving.StateObject
import io.buckthornlever.api.serving.StatePage
import io.buckthornlever.api.serving.StateStore
import io.buckthornlever.api.serving.StoreRevision
import io.netty.channel.EventLoop
import java.time.Duration
import java.util.concurrent.ThreadLocalRandom
import java.util.concurrent.TimeUnit

/**
 * Follows all objects of one kind: lists them, then watches for changes after the revision of the listing. If the store no longer
 * has the history after that revision, the objects are listed again, and objects missing from the new listing count as deleted.
 *
 * @param wait longest wait of one watch; it delays the detection of a silent connection by as much
 * @param lostGrace time for which an object is kept that the store has lost by a restore; whoever wrote it writes it again
 */
internal class StateFeed(
    private val kind: StateKind,
    private val wait: Duration,
    private val lostGrace: Duration,
    private val store: StateStore,
    private val loop: EventLoop,
    private val clock: Clock,
    private val listener: StateFeedListener,
) {
    private val knownRevisions = HashMap<String, Long>()
    private val listedNames = HashSet<String>()
    private var listRevision = 0L
    private var failures = 0

    fun start(): Unit = list(null)

    private fun list(after: String?): Unit =
        guarded {
            val sent = clock.monotonicNanos()
            if (after == null) listedNames.clear()
            store.list(kind, after, false) { result ->
                guarded {
                    result.onSuccess { onPage(it, after, sent) }
                    result.onFailure { retryLater(it) { list(null) } }
                }
            }
        }

    private fun onPage(
        page: StatePage,
        after: String?,
        sent: Long,
    ) {
        onAnswered(sent)
        // The watch starts at the first page's revision, so that it delivers the changes made between two pages.
        if (after == null) listRevision = page.revision
        for (item in page.objects) {
            listedNames.add(item.name)
            apply(item)
        }
        if (page.more && page.objects.isNotEmpty()) return list(page.objects.last().name)
        // Keeps objects newer than the listing: a relay's listing may be older than what the store has delivered directly.
        knownRevisions.filter { (name, revision) -> isMissing(name, revision) }.forEach(::removeMissing)
        listener.onSynchronised(page.asOfNanos ?: sent, listRevision)
        watch(listRevision)
    }

    private fun watch(since: Long): Unit =
        guarded {
            val sent = clock.monotonicNanos()
            store.watch(kind, since, wait) { result ->
                guarded {
                    result.onSuccess { onChanges(it, sent) }
                    result.onFailure { failure ->
                        if (failure == StateFailure.HistoryGone) listener.onHistoryGone(kind)
                        retryLater(failure) { if (failure == StateFailure.HistoryGone) list(null) else watch(since) }
                    }
                }
            }
        }

    private fun onChanges(
        changes: StateChanges,
        sent: Long,
    ) {
        onAnswered(sent)
        changes.changes.forEach(::apply)
        listener.onSynchronised(changes.asOfNanos ?: sent, changes.revision)
        // Changes often come in bursts; the delay collects them in one response.
        if (changes.changes.isEmpty()) {
            watch(changes.revision)
        } else {
            loop.schedule({ watch(changes.revision) }, BATCH_DELAY_MILLIS, TimeUnit.MILLISECONDS)
        }
    }

    /** Runs [step], and lists all objects again if it throws anything: nothing else would continue the feed. */
    private fun guarded(step: () -> Unit) {
        try {
            step()
        } catch (e: Throwable) {
            scheduleRetry { list(null) }
            listener.onStepFailed(kind, e)
        }
    }

    private fun apply(change: StateChange) {
        if (!change.deleted) return apply(change.changed)
        val name = change.changed.name
        if ((knownRevisions[name] ?: Long.MIN_VALUE) <= change.changed.revision) remove(name)
    }

    private fun apply(item: StateObject) {
        if ((knownRevisions[item.name] ?: Long.MIN_VALUE) >= item.revision) return
        knownRevisions[item.name] = item.revision
        try {
            listener.onChanged(kind, item)
        } catch (e: RuntimeException) {
            listener.onChangeFailed(kind, item, e)
        } catch (e: Error) {
            // Unlike an exception, it need not recur: memory may have been short for a moment.
            knownRevisions.remove(item.name)
            scheduleRead(item.name)
            listener.onChangeFailed(kind, item, e)
        }
    }

    private fun scheduleRead(name: String) {
        loop.schedule({ read(name) }, READ_DELAY_MILLIS, TimeUnit.MILLISECONDS)
    }

    private fun read(name: String): Unit =
        guarded {
            store.read(kind, name) { result ->
                guarded {
                    result.onSuccess(::apply)
                    result.onFailure { if (it != StateFailure.NotFound) scheduleRead(name) }
                }
            }
        }

    /** True if the store lacked the object at the newest listing. A relay still lists an object that the store has lost for some time. */
    private fun isMissing(
        name: String,
        revision: Long,
    ): Boolean =
        revision <= listRevision && (name !in listedNames || StoreRevision.eraOf(revision) < StoreRevision.eraOf(listRevision))

    /** Removes the object [name] of [revision], which the newest listing lacks; after [lostGrace] if it may have been lost by a restore. */
    private fun removeMissing(
        name: String,
        revision: Long,
    ) {
        if (lostGrace.isZero || StoreRevision.eraOf(revision) == StoreRevision.eraOf(listRevision)) return remove(name)
        val listEra = StoreRevision.eraOf(listRevision)
        val removal = {
            // After another restore the time starts anew.
            if (knownRevisions[name] == revision && StoreRevision.eraOf(listRevision) == listEra) remove(name)
        }
        loop.schedule(removal, lostGrace.toMillis(), TimeUnit.MILLISECONDS)
    }

    private fun remove(name: String) {
        listener.onTombstone(kind, name)
        if (knownRevisions.remove(name) != null) listener.onDeleted(kind, name)
    }

    private fun onAnswered(sent: Long) {
        failures = 0
        listener.onAnswered(kind, sent)
    }

    private fun retryLater(
        failure: StateFailure,
        retry: () -> Unit,
    ) {
        listener.onFailed(kind, failure)
        scheduleRetry(retry)
    }

    private fun scheduleRetry(retry: () -> Unit) {
        failures++
        val maxPause = minOf(INITIAL_BACKOFF_MILLIS shl minOf(failures - 1, MAX_DOUBLINGS), MAX_BACKOFF_MILLIS)
        val pause = maxPause / 2 + ThreadLocalRandom.current().nextLong(maxPause / 2 + 1)
        loop.schedule(retry, pause, TimeUnit.MILLISECONDS)
    }

    companion object {
        /** Backoff after the first failure; doubles with each further failure. */
        private const val INITIAL_BACKOFF_MILLIS = 40L

        /** Delay after a watch with changes; short compared with all bounds on the time in which a change must take effect. */
        const val BATCH_DELAY_MILLIS = 120L
        private const val MAX_DOUBLINGS = 4

        /** Pause before an object that could not be applied is read again. */
        private const val READ_DELAY_MILLIS = 500L

        /** Short enough for changes to take effect within their bounds after an outage of the store. */
        private const val MAX_BACKOFF_MILLIS = 400L
    }
}
