package io.buckthornlever.cli.process

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import io.buckthornlever.api.process.AccountTable
import io.buckthornlever.api.process.Configuration
import io.buckthornlever.api.process.ConfigurationError
import io.buckthornlever.api.process.PoolTable
import io.buckthornlever.api.process.RouteTable
import io.buckthornlever.core.process.TableCodec
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject

/** Tables of a file or of a daemon; null for those that it does not contain. */
internal data class ConfigurationTables(
    val routes: RouteTable? = null,
    val pools: PoolTable? = null,
    val accounts: AccountTable? = null,
) {
    /** These tables, and those of [other] that are missing here. */
    fun orElse(other: ConfigurationTables?): ConfigurationTables =
        ConfigurationTables(routes ?: other?.routes, pools ?: other?.pools, accounts ?: other?.accounts)

    /** The tables as one configuration; missing ones are empty. */
    fun toConfiguration(): Configuration =
        Configuration(routes ?: RouteTable(), pools ?: PoolTable(), accounts ?: AccountTable())

    companion object {
        private const val ROUTES = "routes"
        private const val POOLS = "pools"
        private const val ACCOUNTS = "accounts"
        private const val DOMAINS_OUT = "domainsOut"
        private const val REVISION = "revision"
        private val KEYS = setOf(ROUTES, POOLS, DOMAINS_OUT, ACCOUNTS, REVISION)

        /**
         * Reads one or more tables from [text], each in the form in which `get` prints it, with the keys of all in one object. Throws
         * [CommandFailure] if it contains none or has another form; [source] is named in the message.
         */
        fun parse(
            text: String,
            source: String,
        ): ConfigurationTables {
            val content = parseObject(text, source)
            val unknown = content.keys - KEYS
            if (unknown.isNotEmpty()) fail(source, "unknown key '${unknown.first()}'; known keys are ${KEYS.joinToString(", ")}")
            val tables =
                ConfigurationTables(
                    part(content, ROUTES)?.let { decode(TableCodec.decodeRoutes(it, 0), source) },
                    part(content, POOLS, DOMAINS_OUT)?.let { decode(TableCodec.decodePools(it, 0), source) },
                    part(content, ACCOUNTS)?.let { decode(TableCodec.decodeAccounts(it, 0), source) },
                )
            if (tables == ConfigurationTables()) fail(source, "contains none of the tables $ROUTES, $POOLS and $ACCOUNTS")
            return tables
        }

        /** Reads all tables in force; [read] returns the table of a name as a daemon states it. */
        fun fetch(read: (String) -> String): ConfigurationTables =
            listOf(ROUTES, POOLS, ACCOUNTS).fold(ConfigurationTables()) { tables, name -> tables.orElse(parse(read(name), "table $name")) }

        private fun parseObject(
            text: String,
            source: String,
        ): JsonObject =
            try {
                Json.parseToJsonElement(text) as? JsonObject
            } catch (e: SerializationException) {
                fail(source, "not valid JSON: ${e.message.orEmpty().lineSequence().first()}")
            } ?: fail(source, "not a JSON object")

        /** The members [keys] of [content] as a document of their own; null if there are none. */
        private fun part(
            content: JsonObject,
            vararg keys: String,
        ): String? = content.filterKeys { it in keys }.takeIf { it.isNotEmpty() }?.let { JsonObject(it).toString() }

        private fun <T> decode(
            result: Result<T, ConfigurationError>,
            source: String,
        ): T =
            result.getOrElse { error ->
                when (error) {
                    is ConfigurationError.Malformed -> fail(source, error.detail)
                    is ConfigurationError.Invalid -> fail(source, error.findings.joinToString("\n"))
                }
            }

        private fun fail(
            source: String,
            message: String,
        ): Nothing = throw CommandFailure(ExitCode.USAGE, "$source: $message")
    }
}
