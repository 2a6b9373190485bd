package io.buckthornlever.daemon.process

import io.buckthornlever.gateway.process.LoggedEvent
import org.slf4j.event.Level

/** Numbered log events; `docs/events.md` describes each of them. */
internal enum class LogEvent(
    override val code: String,
    override val level: Level,
    override val text: String,
) : LoggedEvent {
    STARTED("BL-1001", Level.INFO, "daemon started"),
    SHUTDOWN_STARTED("BL-1002", Level.INFO, "graceful shutdown started"),
    STOPPED("BL-1003", Level.INFO, "daemon stopped"),
    SHUTDOWN_GRACE_OVER("BL-1004", Level.WARN, "requests still open at the end of the shutdown grace period"),
    CONFIGURATION_IN_EFFECT("BL-1101", Level.INFO, "configuration in effect"),
    CONFIGURATION_REFUSED("BL-1102", Level.WARN, "configuration refused; the previous one stays in effect"),
    STORE_UNAVAILABLE("BL-1103", Level.WARN, "object store unavailable"),
    STORE_AVAILABLE("BL-1104", Level.INFO, "object store available again"),
    CONFIGURATION_CHANGED_BY_OPERATOR("BL-1105", Level.INFO, "operator changed the configuration"),
    UPSTREAM_SUSPECT("BL-1201", Level.WARN, "upstream suspect after failures"),
    UPSTREAM_HEALTHY("BL-1202", Level.INFO, "upstream healthy again"),
    REQUEST_FAILED("BL-1301", Level.WARN, "request failed"),
    STREAM_RESUMED("BL-1302", Level.INFO, "stream resumed on another upstream"),
    FOREIGN_CHUNK("BL-1303", Level.WARN, "dropped a chunk that belongs to another request"),
    MEMBER_CHANGED("BL-1401", Level.INFO, "state of a member changed"),
    PAUSE_DETECTED("BL-1402", Level.WARN, "this process did not run for a while"),
    LEASE_GAINED("BL-1403", Level.INFO, "lease gained"),
    LEASE_LOST("BL-1404", Level.INFO, "lease lost"),
    PEER_KEYS_REFUSED("BL-1405", Level.ERROR, "peer key file refused; the previous keys stay in effect"),
    MOVE_DONE("BL-1501", Level.INFO, "version move done"),
    MOVE_ROLLED_BACK("BL-1502", Level.WARN, "version move rolled back"),
    VERSION_STOPPED("BL-1503", Level.WARN, "version gets no more traffic"),
    INTERNAL_ERROR("BL-1901", Level.ERROR, "unexpected error"),
}
