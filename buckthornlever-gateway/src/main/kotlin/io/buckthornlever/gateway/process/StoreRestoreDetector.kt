package io.buckthornlever.gateway.process

import io.buckthornlever.api.serving.StateStore

/** Notices from the era of the [store] that it was restored from a copy, and calls [onRestored]. */
internal class StoreRestoreDetector(
    private val store: StateStore,
    private val log: EventLog,
    private val onRestored: () -> Unit,
) {
    /** Era as of the last check; null before the first. */
    var era: Long? = null
        private set

    /** Compares the era that the store names now with the one known so far; called after each response of the store or a relay. */
    fun check() {
        val known = era
        val current = store.era
        era = current
        if (known == null || known == current) return
        log.write(GatewayEvent.STORE_RESTORED, "era" to current, "before" to known)
        onRestored()
    }
}
