package io.buckthornlever.peer.process

import io.buckthornlever.api.connection.PeerRejection
import java.util.concurrent.atomic.LongAdder

/** Counts of messages and bytes since the start of the process. */
public class PeerCounters {
    private val rejected = PeerRejection.entries.associateWith { LongAdder() }

    /** Datagrams sent. */
    public val datagramsSent: LongAdder = LongAdder()

    /** Datagrams received, including rejected ones. */
    public val datagramsReceived: LongAdder = LongAdder()

    /** Bytes of datagrams and frames sent, without IP, UDP and TCP headers. */
    public val bytesSent: LongAdder = LongAdder()

    /** Bytes of datagrams and frames received, without IP, UDP and TCP headers. */
    public val bytesReceived: LongAdder = LongAdder()

    /** Frames sent over TCP. */
    public val framesSent: LongAdder = LongAdder()

    /** Datagrams dropped because the send queue was full or because sending failed. */
    public val sendQueueDrops: LongAdder = LongAdder()

    /** Accepted connections that failed before the response was sent. */
    public val connectionErrors: LongAdder = LongAdder()

    internal fun countRejection(reason: PeerRejection) = rejected.getValue(reason).increment()

    /** Returns the number of messages rejected for [reason]. */
    public fun rejections(reason: PeerRejection): Long = rejected.getValue(reason).sum()
}
