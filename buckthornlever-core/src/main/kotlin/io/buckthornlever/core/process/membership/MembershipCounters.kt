package io.buckthornlever.core.process.membership

/** Counts since the start of the process. */
public data class MembershipCounters(
    val probes: Long = 0,
    val indirectProbes: Long = 0,
    val suspicions: Long = 0,
    val deaths: Long = 0,
    val refutations: Long = 0,
    val revivals: Long = 0,
    val pauses: Long = 0,
)
