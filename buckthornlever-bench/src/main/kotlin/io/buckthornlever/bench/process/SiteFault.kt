package io.buckthornlever.bench.process

/** Faults that the combined run draws from. */
internal enum class SiteFault {
    ENGINE_CRASH,
    ENGINE_RECLAIM,
    ENGINE_TURNS_COLD,
    SERVICE_CRASH,
    DOMAIN_LOST,
    DOMAIN_TAKEN_OUT,
    STORE_OUTAGE,
    STORE_SLOW,
    STORE_ANSWERS_LOST,
    CONNECTIONS_SILENT,
    SERVICE_ANSWERS_LOST,
    CHUNKS_CROSSED,
    CHUNKS_LATE,
    INSTANCE_SHUTDOWN,
}
