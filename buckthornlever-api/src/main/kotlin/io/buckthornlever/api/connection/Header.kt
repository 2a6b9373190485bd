package io.buckthornlever.api.connection

/** An HTTP header field. */
public data class Header(
    val name: String,
    val value: String,
)
