package io.buckthornlever.core.request

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** State of an accepted job. */
@Serializable
public enum class JobState {
    /** An instance owns the job and is producing its result. */
    @SerialName("running")
    RUNNING,

    /** A stream that is recorded so that its caller can reconnect. The caller's connection drives it; it is never taken over. */
    @SerialName("stream")
    STREAM,

    /** The result is in the record. */
    @SerialName("done")
    DONE,

    /** The job ended without a result. */
    @SerialName("failed")
    FAILED,
}
