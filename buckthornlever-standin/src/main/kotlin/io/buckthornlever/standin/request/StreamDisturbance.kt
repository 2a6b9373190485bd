package io.buckthornlever.standin.request

/**
 * Faults of one answer, decided when it begins.
 *
 * @property foreign supplies a chunk of another request
 */
internal class StreamDisturbance(
    private val atToken: Int,
    private val silence: Boolean,
    private val swap: Boolean,
    private val late: Boolean,
    private val onSilence: () -> Unit,
    private val foreign: (Int) -> ForeignChunk,
) {
    fun silences(index: Int): Boolean {
        val due = silence && index >= atToken
        if (due) onSilence()
        return due
    }

    /** Chunk that takes the place of the one at [index], if any. */
    fun swapped(index: Int): ForeignChunk? = if (swap && index >= atToken) foreign(index) else null

    /** Chunk to send before the one at [index], if any. */
    fun lateChunk(index: Int): ForeignChunk? = if (late && index == atToken) foreign(index) else null
}
