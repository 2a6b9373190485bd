package io.buckthornlever.gateway.request

/** Part of a prompt that several requests may share. */
public data class PromptPart(
    val id: Long,
    val tokens: Int,
)
