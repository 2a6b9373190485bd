package io.buckthornlever.core.version

import io.buckthornlever.api.process.RouteName

/**
 * Flattens rows into small integers, since field names would take most of a datagram. Layout of one row: route index times 4 plus
 * 2 for the new version plus 1 for under load, window length, window index, requests, errors, number of buckets, then pairs of
 * bucket and count.
 */
internal object EvidenceCodec {
    private const val HEADER_SIZE = 6

    fun distinctRoutes(rows: List<EvidenceRow>): List<RouteName> = rows.map { it.key.route }.distinct()

    fun encode(
        rows: List<EvidenceRow>,
        routes: List<RouteName>,
    ): List<Int> =
        rows.flatMap { row ->
            val flags = (if (row.key.isNewVersion) 2 else 0) + (if (row.key.underLoad) 1 else 0)
            val head = listOf(routes.indexOf(row.key.route) * 4 + flags, row.key.window.lengthSeconds, row.key.window.index, row.attempts, row.failures)
            head + (row.latencyPairs.size / 2) + row.latencyPairs
        }

    /** The rows, or null when the values do not have the expected layout. */
    fun decode(
        values: List<Int>,
        routes: List<RouteName>,
    ): List<EvidenceRow>? {
        val rows = mutableListOf<EvidenceRow>()
        var at = 0
        while (at < values.size) {
            if (at + HEADER_SIZE > values.size) return null
            val pairs = values[at + HEADER_SIZE - 1]
            if (pairs !in 0..LatencyBuckets.COUNT || at + HEADER_SIZE + pairs * 2 > values.size) return null
            rows.add(decodeRow(values.subList(at, at + HEADER_SIZE + pairs * 2), routes) ?: return null)
            at += HEADER_SIZE + pairs * 2
        }
        return rows
    }

    private fun decodeRow(
        values: List<Int>,
        routes: List<RouteName>,
    ): EvidenceRow? {
        val route = routes.getOrNull(values[0] shr 2) ?: return null
        if (values.any { it < 0 }) return null
        val slot = EvidenceWindow(values[1], values[2])
        val key = EvidenceKey(route, values[0] and 2 != 0, values[0] and 1 != 0, slot)
        return EvidenceRow(key, values[3], values[4], values.drop(HEADER_SIZE))
    }
}
