package io.buckthornlever.daemon.process.control

import io.buckthornlever.api.process.Configuration
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

/** Tables of the fallback configuration file; they are in effect until the store or a peer provides newer ones. */
internal object FallbackTables {
    /** Reads [file]; when it cannot be read or parsed, calls [onRefused] and returns empty tables. */
    fun read(file: String?, onRefused: (String) -> Unit): Configuration {
        if (file == null) return Configuration()
        return try {
            Json.decodeFromString(Configuration.serializer(), Files.readString(Path.of(file)))
        } catch (e: IOException) {
            onRefused("$file cannot be read: ${e.message}")
            Configuration()
        } catch (e: SerializationException) {
            onRefused("$file: ${e.message.orEmpty().lineSequence().first()}")
            Configuration()
        }
    }
}
