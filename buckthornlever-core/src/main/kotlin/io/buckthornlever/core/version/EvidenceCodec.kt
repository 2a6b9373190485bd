package io.buckthornlever.core.version

import io.buckthornlever.api.process.RouteName

/**
 * Flattens rows into lists of small integers, since field names would fill most of a datagram. Layout of one row: route index × 4, plus
 * 2 for the new version, plus 1 for under load; window length in seconds; window index; attempts; failures; number of latency buckets;
 * then bucket index and count for each bucket.
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
            val header =
                listOf(
                    routes.indexOf(row.key.route) * 4 + flags,
                    row.key.window.lengthSeconds,
                    row.key.window.index,
                    row.attempts,
                    row.failures,
                )
            header + (row.latencyPairs.size / 2) + row.latencyPairs
        }

    /** Returns the rows, or null when [values] does not have the expected layout. */
    fun decode(
        values: List<Int>,
        routes: List<RouteName>,
    ): List<EvidenceRow>? {
        val rows = mutableListOf<EvidenceRow>()
        var offset = 0
        while (offset < values.size) {
            if (offset + HEADER_SIZE > values.size) return null
            val pairCount = values[offset + HEADER_SIZE - 1]
            if (pairCount !in 0..LatencyBuckets.COUNT || offset + HEADER_SIZE + pairCount * 2 > values.size) return null
            rows.add(decodeRow(values.subList(offset, offset + HEADER_SIZE + pairCount * 2), routes) ?: return null)
            offset += HEADER_SIZE + pairCount * 2
        }
        return rows
    }

    private fun decodeRow(
        values: List<Int>,
        routes: List<RouteName>,
    ): EvidenceRow? {
        val route = routes.getOrNull(values[0] shr 2) ?: return null
        if (values.any { it < 0 }) return null
        val window = EvidenceWindow(values[1], values[2])
        val key = EvidenceKey(route, values[0] and 2 != 0, values[0] and 1 != 0, window)
        return EvidenceRow(key, values[3], values[4], values.drop(HEADER_SIZE))
    }
}
