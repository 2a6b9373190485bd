package io.buckthornlever.core.process.configuration.rules

import io.buckthornlever.api.process.Configuration
import io.buckthornlever.api.process.Finding
import io.buckthornlever.api.version.VersionMove
import io.buckthornlever.core.process.configuration.ConfigurationRule
import java.time.Instant
import java.time.format.DateTimeParseException

/** The times of a version move are ISO-8601 instants in order, and the traffic share of the unproven version is a percentage. */
public class MoveTimesRule : ConfigurationRule {
    override fun check(configuration: Configuration): List<Finding> =
        configuration.pools.pools.flatMapIndexed { index, pool -> pool.move?.let { check("pools[$index].move", it) }.orEmpty() }

    private fun check(path: String, move: VersionMove): List<Finding> {
        val start = parse(move.startAt)
        val due = parse(move.dueAt)
        val ordered = start == null || due == null || start < due
        return listOfNotNull(
            if (start == null) Finding("$path.startAt", "'${move.startAt}' is not an ISO-8601 instant") else null,
            if (due == null) Finding("$path.dueAt", "'${move.dueAt}' is not an ISO-8601 instant") else null,
            if (ordered) null else Finding("$path.dueAt", "must be after startAt"),
            Range.check("$path.badSharePercent", move.badSharePercent.toLong(), 1, MAX_PERCENT),
        )
    }

    private fun parse(text: String): Instant? =
        try {
            Instant.parse(text)
        } catch (e: DateTimeParseException) {
            null
        }

    private companion object {
        const val MAX_PERCENT = 100L
    }
}
