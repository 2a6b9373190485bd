package io.buckthornlever.daemon.process.control

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.map
import io.buckthornlever.api.process.Configuration
import io.buckthornlever.api.process.ConfigurationError
import io.buckthornlever.api.process.Finding
import io.buckthornlever.api.process.ObjectKey
import io.buckthornlever.api.process.StoredObject
import io.buckthornlever.core.process.TableCodec

/**
 * Tables among stored objects.
 *
 * @property configuration tables that were read; revision 0 for the others
 * @property findings texts that are not tables
 */
internal class StoreTables private constructor(
    val configuration: Configuration,
    val findings: List<Finding>,
) {
    companion object {
        /** Prefix of all tables. */
        const val PREFIX = "config/"

        fun read(objects: List<StoredObject>): StoreTables {
            var configuration = Configuration()
            val findings = ArrayList<Finding>()
            for (stored in objects) {
                val text = stored.value ?: continue
                table(stored, text)?.fold(
                    success = { configuration = configuration.merge(it) },
                    failure = { findings.add(Finding(stored.key.value, it.toString())) },
                )
            }
            return StoreTables(configuration, findings)
        }

        private fun table(stored: StoredObject, text: String): Result<Configuration, ConfigurationError>? {
            val revision = stored.version.value
            return when (stored.key) {
                ObjectKey.ROUTES -> TableCodec.decodeRoutes(text, revision).map { Configuration(routes = it) }
                ObjectKey.POOLS -> TableCodec.decodePools(text, revision).map { Configuration(pools = it) }
                ObjectKey.ACCOUNTS -> TableCodec.decodeAccounts(text, revision).map { Configuration(accounts = it) }
                else -> null
            }
        }
    }
}
