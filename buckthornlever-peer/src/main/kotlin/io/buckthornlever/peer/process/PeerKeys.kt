package io.buckthornlever.peer.process

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.buckthornlever.api.process.Finding

/**
 * Keys that authenticate messages. [signing] signs sent messages; a received message is valid under any key of [accepted], so that
 * instances that read a rotated key file at different times accept each other's messages.
 */
public class PeerKeys private constructor(
    internal val signing: ByteArray,
    internal val accepted: List<ByteArray>,
) {
    override fun toString(): String = "PeerKeys(accepted=${accepted.size})"

    public companion object {
        private const val MIN_CHARACTERS = 32
        private const val MAX_KEYS = 3

        /** Reads a key file: one key of at least 32 characters per line, the signing key first; lines that start with `#` are ignored. */
        public fun parse(text: String): Result<PeerKeys, List<Finding>> {
            val lines = text.lines().map { it.trim() }.withIndex().filter { it.value.isNotEmpty() && !it.value.startsWith("#") }
            val findings = lines.mapNotNull { (index, line) -> findProblem(line)?.let { Finding("line ${index + 1}", it) } }
            return when {
                findings.isNotEmpty() -> Err(findings)
                lines.size !in 1..MAX_KEYS -> Err(listOf(Finding("keys", "has ${lines.size} keys; expected 1 to $MAX_KEYS")))
                else -> lines.map { it.value.toByteArray() }.let { Ok(PeerKeys(it.first(), it)) }
            }
        }

        private fun findProblem(line: String): String? =
            if (line.length < MIN_CHARACTERS) "has ${line.length} characters; at least $MIN_CHARACTERS are needed" else null
    }
}
