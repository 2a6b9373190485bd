package io.buckthornlever.core.process

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.buckthornlever.api.process.AccountTable
import io.buckthornlever.api.process.ConfigurationError
import io.buckthornlever.api.process.PoolTable
import io.buckthornlever.api.process.RouteTable
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/** Reads and writes the stored form of the tables. Unknown keys are refused. */
public object TableCodec {
    private val json = Json { encodeDefaults = true }

    /** Reads a route table; [revision] is the version of the stored object. */
    public fun decodeRoutes(
        text: String,
        revision: Long,
    ): Result<RouteTable, ConfigurationError> = decode(RouteTable.serializer(), text) { it.copy(revision = revision) }

    /** Reads a pool table; [revision] is the version of the stored object. */
    public fun decodePools(
        text: String,
        revision: Long,
    ): Result<PoolTable, ConfigurationError> = decode(PoolTable.serializer(), text) { it.copy(revision = revision) }

    /** Reads a table of client accounts; [revision] is the version of the stored object. */
    public fun decodeAccounts(
        text: String,
        revision: Long,
    ): Result<AccountTable, ConfigurationError> = decode(AccountTable.serializer(), text) { it.copy(revision = revision) }

    /** Writes the stored form of [table]. */
    public fun encode(table: RouteTable): String = json.encodeToString(RouteTable.serializer(), table)

    /** Writes the stored form of [table]. */
    public fun encode(table: PoolTable): String = json.encodeToString(PoolTable.serializer(), table)

    /** Writes the stored form of [table]. */
    public fun encode(table: AccountTable): String = json.encodeToString(AccountTable.serializer(), table)

    private fun <T> decode(
        serializer: KSerializer<T>,
        text: String,
        withRevision: (T) -> T,
    ): Result<T, ConfigurationError> =
        try {
            Ok(withRevision(json.decodeFromString(serializer, text)))
        } catch (e: SerializationException) {
            Err(ConfigurationError.Malformed(e.message.orEmpty().lineSequence().first()))
        } catch (e: IllegalArgumentException) {
            Err(ConfigurationError.Malformed(e.message.orEmpty().lineSequence().first()))
        }
}
