package io.buckthornlever.core.process.configuration

import io.buckthornlever.api.process.AccountTable
import io.buckthornlever.api.process.Configuration
import io.buckthornlever.api.process.Finding
import io.buckthornlever.api.process.ObjectKey
import io.buckthornlever.api.process.PoolTable
import io.buckthornlever.api.process.RouteTable
import io.buckthornlever.api.process.StoredObject
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/** Reads tables from stored objects. The version of the object is the table's revision; a `revision` in the text has no effect. */
public object TableReader {
    private val json = Json { ignoreUnknownKeys = false }

    /**
     * Result of a read.
     *
     * @property configuration tables that were read; revision 0 for the others
     * @property findings texts that are not tables
     */
    public data class Tables(
        val configuration: Configuration,
        val findings: List<Finding>,
    )

    /** Reads all tables among [objects]; other keys and deleted objects are left out. */
    public fun read(objects: List<StoredObject>): Tables {
        var configuration = Configuration()
        val findings = ArrayList<Finding>()
        for (stored in objects) {
            val text = stored.value ?: continue
            try {
                configuration = configuration.merge(table(stored, text))
            } catch (e: SerializationException) {
                findings.add(Finding(stored.key.value, e.message.orEmpty().lineSequence().first()))
            } catch (e: IllegalArgumentException) {
                findings.add(Finding(stored.key.value, e.message.orEmpty().lineSequence().first()))
            }
        }
        return Tables(configuration, findings)
    }

    private fun table(stored: StoredObject, text: String): Configuration {
        val revision = stored.version.value
        return when (stored.key) {
            ObjectKey.ROUTES -> Configuration(routes = decode(RouteTable.serializer(), text).copy(revision = revision))
            ObjectKey.POOLS -> Configuration(pools = decode(PoolTable.serializer(), text).copy(revision = revision))
            ObjectKey.ACCOUNTS -> Configuration(accounts = decode(AccountTable.serializer(), text).copy(revision = revision))
            else -> Configuration()
        }
    }

    private fun <T> decode(serializer: KSerializer<T>, text: String): T = json.decodeFromString(serializer, text)
}
