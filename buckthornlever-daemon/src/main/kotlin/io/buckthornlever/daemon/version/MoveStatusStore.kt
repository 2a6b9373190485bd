package io.buckthornlever.daemon.version

import com.github.michaelbull.result.fold
import com.github.michaelbull.result.get
import io.buckthornlever.api.process.ObjectStore
import io.buckthornlever.api.process.StoreError
import io.buckthornlever.api.version.MoveStatus
import io.buckthornlever.core.version.MoveCommand
import io.buckthornlever.core.version.VersionMoves
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/** Reads and writes the status records of version moves; each call returns the update to apply to the state machine. */
internal class MoveStatusStore(
    private val store: ObjectStore,
) {
    fun read(command: MoveCommand.ReadStatus): (VersionMoves) -> Unit =
        store.get(command.key).fold(
            success = { found -> { moves -> moves.onStatusRead(command.pool, decode(found.value), found.version) } },
            failure = { error -> { moves -> if (error == StoreError.NotFound) moves.onStatusRead(command.pool, null, null) } },
        )

    fun write(command: MoveCommand.WriteStatus): (VersionMoves) -> Unit {
        val text = JSON.encodeToString(MoveStatus.serializer(), command.status)
        val expected = command.expected
        val result = if (expected == null) store.create(command.key, text) else store.update(command.key, text, expected)
        return { moves -> moves.onStatusWritten(command.status, result.get()) }
    }

    // An unreadable record is replaced, which is safe because it cannot have raised the share of traffic.
    private fun decode(text: String?): MoveStatus? =
        try {
            text?.let { JSON.decodeFromString(MoveStatus.serializer(), it) }
        } catch (_: SerializationException) {
            null
        }

    private companion object {
        val JSON =
            Json {
                encodeDefaults = true
                ignoreUnknownKeys = true
            }
    }
}
