package io.buckthornlever.standin.request

import kotlinx.serialization.Serializable

/** Body of a creation request to the cloud API. */
@Serializable
internal data class CreateInstance(
    val requestId: String,
    val failureDomain: String,
    val machineClass: String,
    val kind: String,
)
