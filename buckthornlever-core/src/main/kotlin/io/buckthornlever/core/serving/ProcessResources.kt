package io.buckthornlever.core.serving

/**
 * What one process may use, and what it gives to callers of it.
 *
 * @property heapBytes largest size of the heap
 * @property memoryBytes memory of the machine for this process; 0 if unknown
 * @property descriptors descriptors that the process may have open
 * @property callerBytesOverride bytes for callers that the operator has set; 0 for the default
 * @property callerConnectionsOverride connections of callers that the operator has set; 0 for the default
 */
public data class ProcessResources(
    val heapBytes: Long,
    val memoryBytes: Long = 0,
    val descriptors: Int = DEFAULT_DESCRIPTORS,
    val callerBytesOverride: Long = 0,
    val callerConnectionsOverride: Int = 0,
) {
    private val sockets = maxOf(0, descriptors - FILE_DESCRIPTORS)

    /** Bytes that callers may make the process hold. */
    val callerBytes: Long
        get() {
            val ofHeap = heapBytes * HEAP_EIGHTHS / EIGHTHS
            val default = if (memoryBytes > 0) minOf(ofHeap, memoryBytes / MEMORY_DIVISOR) else ofHeap
            return if (callerBytesOverride > 0) minOf(callerBytesOverride, heapBytes / 2) else default
        }

    /** Connections of other instances that follow this one. */
    val relayConnections: Int get() = maxOf(MIN_CONNECTIONS, sockets / RELAY_DIVISOR)

    /** Connections for readiness checks and metrics. */
    val probeConnections: Int get() = PROBE_CONNECTIONS

    /** Connections to upstreams, the store and other services, of which each request that is being served needs one. */
    val outboundConnections: Int get() = maxOf(MIN_CONNECTIONS, (sockets - relayConnections - OWN_CONNECTIONS) / 2)

    /** Connections of callers. */
    val callerConnections: Int
        get() {
            val byMemory = callerBytes / CONNECTIONS_SHARE / CONNECTION_BYTES
            val wanted = if (callerConnectionsOverride > 0) callerConnectionsOverride.toLong() else byMemory
            return wanted.coerceIn(MIN_CONNECTIONS.toLong(), outboundConnections.toLong()).toInt()
        }

    public companion object {
        /** Used when the settings do not tell; the smallest usual limit of a process. */
        public const val DEFAULT_DESCRIPTORS: Int = 1_024

        /** Heap that one open connection takes without any request, measured at 1,000 idle connections. */
        public const val CONNECTION_BYTES: Long = 6_144

        /** Descriptors for files: the settings count 200 of the limit for these. */
        private const val FILE_DESCRIPTORS = 200

        /** Three eighths of the heap; the rest is for the shared state and for garbage between two collections. */
        private const val HEAP_EIGHTHS = 3
        private const val EIGHTHS = 8

        /** A process takes about a hundred megabytes beside its heap. */
        private const val MEMORY_DIVISOR = 6

        /** Largest part of the bytes for callers that open connections without requests take. */
        private const val CONNECTIONS_SHARE = 4

        /** Each follower polls for six kinds of objects; a relay of a large site has some dozen followers. */
        private const val RELAY_DIVISOR = 4
        private const val PROBE_CONNECTIONS = 64

        /** Listeners, datagrams, probes, calls to the store and the cloud API, and connections accepted in one turn beyond a limit. */
        private const val OWN_CONNECTIONS = PROBE_CONNECTIONS + 64
        private const val MIN_CONNECTIONS = 16
    }
}
