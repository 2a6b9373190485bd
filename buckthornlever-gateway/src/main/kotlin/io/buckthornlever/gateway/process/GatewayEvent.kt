package io.buckthornlever.gateway.process

import org.slf4j.event.Level

/** Numbered log events of the gateway, each described in `docs/gateway-events.md`. */
public enum class GatewayEvent(
    override val code: String,
    override val level: Level,
    override val text: String,
) : LoggedEvent {
    STARTED("BL-2001", Level.INFO, "gateway started"),
    SHUTDOWN_STARTED("BL-2002", Level.INFO, "gateway shutdown started"),
    STOPPED("BL-2003", Level.INFO, "gateway stopped"),
    SETTINGS_RELOADED("BL-2004", Level.INFO, "settings read again"),
    TABLE_IN_FORCE("BL-2101", Level.INFO, "serving table in force"),
    STATE_UNREADABLE("BL-2102", Level.WARN, "object of the store cannot be read and is ignored"),
    STORE_LOST("BL-2103", Level.WARN, "store does not answer"),
    STORE_REGAINED("BL-2104", Level.INFO, "store answers again"),
    HISTORY_GONE("BL-2105", Level.INFO, "store forgot the history; everything is listed again"),
    RELAY_CHANGED("BL-2106", Level.INFO, "another instance is followed for the shared state"),
    RELAY_FAILED("BL-2107", Level.WARN, "followed instance gave no usable answer"),
    UPSTREAM_REGISTERED("BL-2201", Level.INFO, "upstream registered or changed"),
    UPSTREAM_GONE("BL-2202", Level.INFO, "upstream is gone"),
    UPSTREAM_LAPSED("BL-2203", Level.INFO, "upstream's registration lapsed while the store was away"),
    DOMAINS_EVACUATED("BL-2204", Level.INFO, "evacuated failure domains changed"),
    REQUEST_REFUSED("BL-2301", Level.INFO, "request refused before it was placed"),
    REQUEST_FINISHED("BL-2302", Level.INFO, "request finished"),
    ATTEMPT_ENDED("BL-2303", Level.INFO, "attempt ended without a usable answer"),
    CALLER_LEFT("BL-2304", Level.INFO, "caller closed its connection"),
    READINESS_CHANGED("BL-2305", Level.INFO, "readiness changed"),
    PEERS_CHANGED("BL-2401", Level.INFO, "live instances changed"),
    PAUSE_DETECTED("BL-2402", Level.WARN, "time of day jumped; beliefs count as unconfirmed"),
    LEASE_GAINED("BL-2403", Level.INFO, "duty lease gained"),
    LEASE_LOST("BL-2404", Level.INFO, "duty lease lost"),
    QUOTAS_DIVIDED("BL-2405", Level.INFO, "quotas divided among instances"),
    QUOTAS_NOT_DIVIDED("BL-2406", Level.WARN, "division of quotas could not be written"),
    QUOTA_CEILINGS_NOT_RECORDED("BL-2407", Level.WARN, "ceilings of quota shares could not be recorded"),
    DATAGRAM_IGNORED("BL-2408", Level.WARN, "datagram of another instance cannot be read and is ignored"),
    DATAGRAM_TOO_LARGE("BL-2409", Level.WARN, "datagram is larger than UDP carries and is not delivered"),
    USAGE_REPORTED("BL-2501", Level.INFO, "usage of a window reported"),
    UPSTREAMS_ORDERED("BL-2502", Level.INFO, "upstreams ordered"),
    INTERNAL_ERROR("BL-2901", Level.ERROR, "unexpected error"),
}
