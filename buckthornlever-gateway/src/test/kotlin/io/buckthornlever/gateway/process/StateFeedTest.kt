package io.buckthornlever.gateway.process

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.buckthornlever.api.process.SystemClock
import io.buckthornlever.api.serving.StateChange
import io.buckthornlever.api.serving.StateChanges
import io.buckthornlever.api.serving.StateFailure
import io.buckthornlever.api.serving.StateKind
import io.buckthornlever.api.serving.StateObject
import io.buckthornlever.api.serving.StatePage
import io.buckthornlever.api.serving.StateStore
import io.buckthornlever.api.serving.StateValue
import io.buckthornlever.api.serving.StoreRevision
import io.buckthornlever.api.serving.VersionOrder
import io.buckthornlever.api.version.MoveStatus
import io.netty.channel.nio.NioEventLoopGroup
import java.time.Duration
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull

/** Guards against deletions that do not reach the listener, older changes that overwrite newer ones, and feeds that end unnoticed. */
class StateFeedTest {
    private val group = NioEventLoopGroup(1)
    private val calls = LinkedBlockingQueue<String>()

    /** Thrown while the object [BROKEN] is applied, one each time. */
    private val failures = ConcurrentLinkedQueue<Error>()

    /** Thrown when all changes have been delivered, one each time. */
    private val synchronisationFailures = ConcurrentLinkedQueue<Error>()

    @AfterTest
    fun stop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync()
    }

    @Test
    fun `the deletion of an object that was never known is passed on to followers`() {
        follow(StateChange(StateObject("x", 5, null), true))
        assertEquals("synchronised 2", next())
        assertEquals("tombstone x", next())
        assertEquals("synchronised 9", next())
    }

    @Test
    fun `an older version of an object does not replace a newer one`() {
        follow(StateChange(StateObject("a", 1, null), false), StateChange(StateObject("a", 1, null), true))
        assertEquals("synchronised 2", next())
        assertEquals("synchronised 9", next())
        assertNull(calls.poll(100, TimeUnit.MILLISECONDS))
    }

    @Test
    fun `an object that cannot be applied does not end the feed`() {
        follow(StateChange(StateObject(FAILING, 5, null), false), StateChange(StateObject("b", 6, null), false))
        assertEquals("synchronised 2", next())
        assertEquals("failed $FAILING", next())
        assertEquals("changed b", next())
        assertEquals("synchronised 9", next())
    }

    @Test
    fun `an error while an object is applied does not end the feed and the object is applied later`() {
        failures.add(OutOfMemoryError("of the test"))
        follow(StateChange(StateObject(BROKEN, 5, null), false), StateChange(StateObject("b", 6, null), false))
        assertEquals("synchronised 2", next())
        assertEquals("failed $BROKEN", next())
        assertEquals("changed b", next())
        assertEquals("synchronised 9", next())
        assertEquals("changed $BROKEN", next())
    }

    @Test
    fun `an error after the changes were applied does not end the feed`() {
        synchronisationFailures.add(StackOverflowError("of the test"))
        follow(StateChange(StateObject("b", 6, null), false))
        assertEquals("step failed", next())
        assertEquals("synchronised 2", next())
        assertEquals("changed b", next())
        assertEquals("synchronised 9", next())
    }

    @Test
    fun `objects that a restored store has lost are removed unless they are written again`() {
        start(RestoredStore(), Duration.ofMillis(200))
        assertEquals(listOf("changed a", "changed b", "changed c"), List(3) { next() })
        assertEquals("synchronised ${StoreRevision.of(1, 9)}", next())
        assertEquals("changed a", next())
        assertEquals("synchronised ${StoreRevision.of(2, 5)}", next())
        assertEquals("changed b", next())
        assertEquals("synchronised ${StoreRevision.of(2, 6)}", next())
        assertEquals("tombstone c", next())
        assertEquals("deleted c", next())
        assertNull(calls.poll(300, TimeUnit.MILLISECONDS))
    }

    // Guards against an object that stays for good when the relay that listed it stops before it has passed on the removal.
    @Test
    fun `an object that a restored store has lost and a relay still lists is removed`() {
        start(RestoredStore(relayed = listOf("c")), Duration.ofMillis(200))
        assertEquals(listOf("changed a", "changed b", "changed c"), List(3) { next() })
        assertEquals("synchronised ${StoreRevision.of(1, 9)}", next())
        assertEquals("changed a", next())
        assertEquals("synchronised ${StoreRevision.of(2, 5)}", next())
        assertEquals("changed b", next())
        assertEquals("synchronised ${StoreRevision.of(2, 6)}", next())
        assertEquals("tombstone c", next())
        assertEquals("deleted c", next())
    }

    // Guards against a removal that is due from the first restore and leaves no time to write the object again after the second.
    @Test
    fun `a second restore gives lost objects the full time to be written again`() {
        start(TwiceRestoredStore(), Duration.ofMillis(1_000))
        assertEquals(listOf("changed a", "changed b"), List(2) { next() })
        assertEquals("synchronised ${StoreRevision.of(1, 9)}", next())
        assertEquals("changed a", next())
        assertEquals("synchronised ${StoreRevision.of(2, 5)}", next())
        assertEquals("changed a", next())
        assertEquals("synchronised ${StoreRevision.of(3, 5)}", next())
        assertEquals("changed b", next())
    }

    private fun follow(vararg changes: StateChange) {
        start(SingleWatchStore(changes.toList()), Duration.ZERO)
        assertEquals("changed a", next())
    }

    private fun start(
        store: StateStore,
        lostGrace: Duration,
    ) {
        val loop = group.next()
        loop.execute {
            StateFeed(StateKind.UPSTREAMS, Duration.ofSeconds(1), lostGrace, store, loop, SystemClock, RecordingListener()).start()
        }
    }

    private fun next(): String? = calls.poll(5, TimeUnit.SECONDS)

    private inner class RecordingListener : StateFeedListener {
        override fun onChanged(
            kind: StateKind,
            changed: StateObject,
        ) {
            check(changed.name != FAILING)
            if (changed.name == BROKEN) failures.poll()?.let { throw it }
            calls.add("changed ${changed.name}")
        }

        override fun onChangeFailed(
            kind: StateKind,
            changed: StateObject,
            cause: Throwable,
        ) {
            calls.add("failed ${changed.name}")
        }

        override fun onStepFailed(
            kind: StateKind,
            cause: Throwable,
        ) {
            calls.add("step failed")
        }

        override fun onTombstone(
            kind: StateKind,
            name: String,
        ) {
            calls.add("tombstone $name")
        }

        override fun onDeleted(
            kind: StateKind,
            name: String,
        ) {
            calls.add("deleted $name")
        }

        override fun onAnswered(
            kind: StateKind,
            sentNanos: Long,
        ) = Unit

        override fun onSynchronised(
            asOfNanos: Long,
            revision: Long,
        ) {
            synchronisationFailures.poll()?.let { throw it }
            calls.add("synchronised $revision")
        }

        override fun onFailed(
            kind: StateKind,
            failure: StateFailure,
        ) = Unit

        override fun onHistoryGone(kind: StateKind) = Unit
    }

    /** Lists object `a` at revision 2 of the store, answers one watch, and reads any object at revision 5. */
    private class SingleWatchStore(
        private val changes: List<StateChange>,
    ) : StateStore {
        override val era: Long = 0

        private var hasAnswered = false

        override fun list(
            kind: StateKind,
            after: String?,
            stale: Boolean,
            done: (Result<StatePage, StateFailure>) -> Unit,
        ) = done(Ok(StatePage(listOf(StateObject("a", 2, null)), false, 2)))

        override fun watch(
            kind: StateKind,
            since: Long,
            wait: Duration,
            done: (Result<StateChanges, StateFailure>) -> Unit,
        ) {
            if (hasAnswered) return
            hasAnswered = true
            done(Ok(StateChanges(changes, 9)))
        }

        override fun read(
            kind: StateKind,
            name: String,
            done: (Result<StateObject, StateFailure>) -> Unit,
        ) = done(Ok(StateObject(name, 5, null)))

        override fun create(
            kind: StateKind,
            name: String,
            value: StateValue,
            done: (Result<StateObject, StateFailure>) -> Unit,
        ) = Unit

        override fun replace(
            kind: StateKind,
            name: String,
            expected: Long?,
            value: StateValue,
            done: (Result<StateObject, StateFailure>) -> Unit,
        ) = Unit

        override fun replaceStatus(
            order: VersionOrder,
            expected: Long,
            status: MoveStatus,
            done: (Result<StateObject, StateFailure>) -> Unit,
        ) = Unit

        override fun delete(
            kind: StateKind,
            name: String,
            done: (Result<Unit, StateFailure>) -> Unit,
        ) = Unit
    }

    /**
     * Has lost `b` and `c` by the first watch; `b` is written again before the second one. Like a relay, it still lists the objects
     * [relayed], with their revisions from before.
     */
    private class RestoredStore(
        private val relayed: List<String> = emptyList(),
    ) : StateStore by SingleWatchStore(emptyList()) {
        private var watches = 0

        override fun list(
            kind: StateKind,
            after: String?,
            stale: Boolean,
            done: (Result<StatePage, StateFailure>) -> Unit,
        ) {
            val era = if (watches == 0) 1L else 2L
            val names = if (watches == 0) listOf("a", "b", "c") else listOf("a")
            val kept = if (watches == 0) emptyList() else relayed.map { StateObject(it, StoreRevision.of(1, 3), null) }
            val objects = names.mapIndexed { i, name -> StateObject(name, StoreRevision.of(era, i + 1L), null) } + kept
            done(Ok(StatePage(objects, false, StoreRevision.of(era, if (watches == 0) 9 else 5))))
        }

        override fun watch(
            kind: StateKind,
            since: Long,
            wait: Duration,
            done: (Result<StateChanges, StateFailure>) -> Unit,
        ) {
            when (++watches) {
                1 -> done(Err(StateFailure.HistoryGone))
                2 -> {
                    val written = StateObject("b", StoreRevision.of(2, 6), null)
                    done(Ok(StateChanges(listOf(StateChange(written, false)), StoreRevision.of(2, 6))))
                }
                else -> Unit
            }
        }
    }

    /** Loses `b` by the first watch and is restored again during the second one; `b` is written again after the second restore. */
    private inner class TwiceRestoredStore : StateStore by SingleWatchStore(emptyList()) {
        private var watches = 0

        override fun list(
            kind: StateKind,
            after: String?,
            stale: Boolean,
            done: (Result<StatePage, StateFailure>) -> Unit,
        ) {
            val era = watches + 1L
            val names = if (watches == 0) listOf("a", "b") else listOf("a")
            val objects = names.mapIndexed { i, name -> StateObject(name, StoreRevision.of(era, i + 1L), null) }
            done(Ok(StatePage(objects, false, StoreRevision.of(era, if (watches == 0) 9 else 5))))
        }

        override fun watch(
            kind: StateKind,
            since: Long,
            wait: Duration,
            done: (Result<StateChanges, StateFailure>) -> Unit,
        ) {
            when (++watches) {
                1 -> done(Err(StateFailure.HistoryGone))
                2 -> later(300) { done(Err(StateFailure.HistoryGone)) }
                3 -> later(850) {
                    val written = StateObject("b", StoreRevision.of(3, 6), null)
                    done(Ok(StateChanges(listOf(StateChange(written, false)), StoreRevision.of(3, 6))))
                }
                else -> Unit
            }
        }

        private fun later(
            millis: Long,
            action: () -> Unit,
        ) {
            group.next().schedule(action, millis, TimeUnit.MILLISECONDS)
        }
    }

    private companion object {
        const val FAILING = "failing"
        const val BROKEN = "broken"
    }
}
