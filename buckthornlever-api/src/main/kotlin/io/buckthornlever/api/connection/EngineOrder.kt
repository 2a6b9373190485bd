package io.buckthornlever.api.connection

import kotlinx.serialization.Serializable

/**
 * An order from the lease holder to one engine.
 *
 * @property fencing fencing token of the lease under which the order is given
 * @property requestId idempotency key of the order; the same for every repetition, including those by a later lease holder
 * @property model name of the model, adapter or role, depending on [kind]
 */
@Serializable
public data class EngineOrder(
    val fencing: Long,
    val kind: EngineOrderKind,
    val model: String,
    val version: String,
    val requestId: String,
)
