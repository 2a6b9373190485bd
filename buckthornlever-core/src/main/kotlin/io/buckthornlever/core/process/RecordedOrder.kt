package io.buckthornlever.core.process

import io.buckthornlever.api.process.PoolName
import kotlinx.serialization.Serializable

/**
 * An order to the cloud or to an engine, as stored before it is sent.
 *
 * @property requestId identifies the order to its receiver; a later lease holder repeats the order under the same id
 * @property fencing fencing token of the lease under which the order was recorded
 * @property start what to start for [pool]; null for an order to an engine
 * @property engine desired engine state to order; null for a start
 */
@Serializable
public data class RecordedOrder(
    val requestId: String,
    val fencing: Long,
    val pool: PoolName? = null,
    val start: OfferKey? = null,
    val engine: EngineIntent? = null,
    val state: OrderState = OrderState.PLANNED,
)
