package io.buckthornlever.api.connection

import kotlinx.serialization.Serializable

/**
 * Order of the lease holder to one engine.
 *
 * @property fencing fencing number of the lease under which the order is given
 * @property requestId makes the order idempotent; the same for every repetition, also by a later holder
 * @property model model, adapter or role, depending on [kind]
 */
@Serializable
public data class EngineOrder(
    val fencing: Long,
    val kind: EngineOrderKind,
    val model: String,
    val version: String,
    val requestId: String,
)
