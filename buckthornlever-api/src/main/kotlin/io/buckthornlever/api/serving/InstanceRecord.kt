package io.buckthornlever.api.serving

/** Address of an entry instance for messages from its peers. */
public data class InstanceRecord(
    val name: String,
    val host: String,
    val peerPort: Int,
)
