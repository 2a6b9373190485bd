package io.buckthornlever.standin.process

/** Fault switches of an [InstanceListStandIn]. */
public class InstanceListFaults {
    /** Age in milliseconds of the list that callers see. */
    @Volatile
    public var lagMillis: Long = 0

    /** Time in milliseconds that each call waits before it is handled. */
    @Volatile
    public var delayMillis: Long = 0

    /** Every call is answered with 503. */
    @Volatile
    public var outage: Boolean = false
}
