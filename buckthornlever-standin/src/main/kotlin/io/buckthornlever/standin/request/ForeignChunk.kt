package io.buckthornlever.standin.request

/** Id and text of a chunk that belongs to another request. */
internal data class ForeignChunk(
    val id: String,
    val text: String,
)
