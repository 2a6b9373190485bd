package io.buckthornlever.api.connection

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Handle of an exported KV cache. */
@Serializable
public data class KvHandle(
    @SerialName("kv_handle")
    val value: String,
)
