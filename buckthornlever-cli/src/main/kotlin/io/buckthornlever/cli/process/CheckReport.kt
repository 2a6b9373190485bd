package io.buckthornlever.cli.process

import io.buckthornlever.api.process.Finding
import io.buckthornlever.core.process.configuration.ConfigurationValidator
import io.buckthornlever.core.process.configuration.rules.PoolReferenceRule
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/**
 * Result of a check of tables.
 *
 * @property errors findings for which a daemon refuses the tables
 * @property warnings entries that never match, and limits that contradict each other
 * @property changes differences from the tables in force; null if these are not known
 */
@Serializable
internal data class CheckReport(
    val errors: List<Finding>,
    val warnings: List<Finding>,
    val changes: List<String>?,
) {
    fun toJson(): String = Json.encodeToString(serializer(), this)

    fun toText(): String {
        val differences = changes ?: listOf("changes are not known: give the tables in force as a second file, or --server")
        val lines = errors.map { "error: $it" } + warnings.map { "warning: $it" } + differences
        return if (lines.isEmpty()) "no errors, no warnings, no changes" else lines.joinToString("\n")
    }

    companion object {
        /** Checks [proposed], which takes the tables that it does not contain from those [inForce], if these are known. */
        fun of(
            proposed: ConfigurationTables,
            inForce: ConfigurationTables?,
        ): CheckReport {
            val whole = proposed.orElse(inForce)
            val rules = ConfigurationValidator.STANDARD_RULES.filter { whole.pools != null || it !is PoolReferenceRule }
            return CheckReport(
                ConfigurationValidator(rules).check(whole.toConfiguration()),
                ConfigurationReview.check(whole),
                inForce?.let { ConfigurationChanges.between(it, proposed) },
            )
        }
    }
}
