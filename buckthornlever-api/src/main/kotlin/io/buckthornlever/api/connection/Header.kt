package io.buckthornlever.api.connection

/** One HTTP header line. */
public data class Header(
    val name: String,
    val value: String,
)
