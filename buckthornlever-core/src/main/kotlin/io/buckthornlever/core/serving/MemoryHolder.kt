package io.buckthornlever.core.serving

/** One connection of a caller with the memory that it makes the process hold. Changed by [CallerMemoryBudget] only. */
public class MemoryHolder {
    /** Bytes that the process holds for the connection now. */
    public var bytes: Long = 0
        internal set

    /** What the process waits for. */
    public var phase: HolderPhase = HolderPhase.IDLE
        internal set

    /** Monotonic time of the last progress, or since which the connection has been in its phase. */
    public var progressNanos: Long = 0
        internal set

    /** Bytes received or sent since [progressNanos]. */
    internal var movedBytes = 0L

    /** Bytes that the connection may still read while memory is short. */
    internal var grantedBytes = 0L

    /** Bytes that it waits for being granted; 0 if it does not wait. */
    internal var neededBytes = 0L
    internal var waitingSinceNanos = 0L
    internal var sequence = 0L

    /** True while the connection must not be read from. */
    public val isWaiting: Boolean get() = neededBytes > 0

    /** True if the other end has moved too little since [stallNanos] ago for what the process holds for it. */
    internal fun isStalled(
        nanos: Long,
        stallNanos: Long,
    ): Boolean =
        when (phase) {
            HolderPhase.IDLE, HolderPhase.READING, HolderPhase.WRITING -> !isWaiting && nanos - progressNanos >= stallNanos
            HolderPhase.SERVING, HolderPhase.CLOSED -> false
        }
}
