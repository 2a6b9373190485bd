package io.buckthornlever.gateway.process

import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import io.buckthornlever.api.serving.InstanceRecord
import io.buckthornlever.api.serving.StateFailure
import io.buckthornlever.api.serving.StateKind
import io.buckthornlever.api.serving.StateObject
import io.buckthornlever.api.serving.StateStore
import io.buckthornlever.api.serving.StateValue
import io.buckthornlever.api.serving.StoreRevision
import io.netty.channel.EventLoop
import java.util.concurrent.TimeUnit

/** Keeps the [record] of the instance [name] registered in the [store]. */
internal class InstanceRegistration(
    private val loop: EventLoop,
    private val store: StateStore,
    private val name: String,
    private val record: InstanceRecord,
    private val restoreDetector: StoreRestoreDetector,
) {
    /** Registers the instance, in the place of an earlier process of it; tries again until it is registered. */
    fun register() {
        val value = StateValue.Instance(record)
        store.create(StateKind.INSTANCES, name, value) { result ->
            result.onSuccess(::onRegistered)
            result.onFailure { failure ->
                when (failure) {
                    is StateFailure.Conflict -> store.replace(StateKind.INSTANCES, name, null, value) { replaced ->
                        replaced.onSuccess(::onRegistered)
                        replaced.onFailure { registerLater() }
                    }
                    else -> registerLater()
                }
            }
        }
    }

    /** Registers again if a restored store lacks the registration. All instances do this at once, and most only have to read. */
    fun confirm() {
        store.read(StateKind.INSTANCES, name) { result ->
            result.onSuccess { if ((it.value as? StateValue.Instance)?.record != record) register() }
            result.onFailure { if (it == StateFailure.NotFound) register() else registerLater() }
        }
    }

    /** The registration is lost if the store was restored after it had been [stored]; later responses may have told so before. */
    private fun onRegistered(stored: StateObject) {
        restoreDetector.check()
        if (StoreRevision.eraOf(stored.revision) < store.era) confirm()
    }

    private fun registerLater() {
        loop.schedule({ register() }, RETRY_MILLIS, TimeUnit.MILLISECONDS)
    }

    private companion object {
        const val RETRY_MILLIS = 500L
    }
}
