package io.buckthornlever.http.connection

import okhttp3.Call
import okhttp3.EventListener

/** Records whether any byte of a call may have left this process. Used as a tag of the call's request. */
internal class SendTracker {
    @Volatile
    var mayHaveBeenSent: Boolean = false

    /** Marks the tracker of a call at the moment its first byte is written. */
    object Listener : EventListener() {
        override fun requestHeadersStart(call: Call) {
            call.request().tag(SendTracker::class.java)?.mayHaveBeenSent = true
        }
    }
}
