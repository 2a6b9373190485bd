package io.buckthornlever.http.connection

import okhttp3.Call
import okhttp3.EventListener

/** Records whether any byte of a call may have left this process. Attached to the call's request as a tag. */
internal class SendTracker {
    @Volatile
    var mayHaveBeenSent: Boolean = false

    /** Sets [mayHaveBeenSent] in the tracker of a call just before its first byte is written. */
    object Listener : EventListener() {
        override fun requestHeadersStart(call: Call) {
            call.request().tag(SendTracker::class.java)?.mayHaveBeenSent = true
        }
    }
}
