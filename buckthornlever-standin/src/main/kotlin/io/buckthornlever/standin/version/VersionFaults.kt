package io.buckthornlever.standin.version

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicInteger

/** Defects of versions that an upstream shows; may be changed while it runs. */
public class VersionFaults {
    private val active = CopyOnWriteArrayList<ActiveFault>()
    private val requests = ConcurrentHashMap<String, AtomicInteger>()

    /** Adds [fault]; requests that were served before count for [VersionFault.afterRequests]. */
    public fun add(fault: VersionFault) {
        active.add(ActiveFault(fault, AtomicInteger()))
    }

    /** Removes all defects. */
    public fun clear(): Unit = active.clear()

    /** Counts the request and returns the defect that affects it, if any. */
    internal fun match(
        version: String,
        path: String,
        inFlight: Int,
    ): VersionFault? {
        val earlier = requests.computeIfAbsent(version) { AtomicInteger() }.getAndIncrement()
        val matching = active.filter { applies(it.fault, version, path, inFlight, earlier) }
        return matching.firstOrNull { it.matches.incrementAndGet() % it.fault.everyNth == 0 }?.fault
    }

    private fun applies(
        fault: VersionFault,
        version: String,
        path: String,
        inFlight: Int,
        earlier: Int,
    ): Boolean {
        if (fault.version != null && fault.version != version) return false
        return earlier >= fault.afterRequests && inFlight >= fault.minInFlight && path.startsWith(fault.pathPrefix)
    }

    private class ActiveFault(
        val fault: VersionFault,
        val matches: AtomicInteger,
    )
}
