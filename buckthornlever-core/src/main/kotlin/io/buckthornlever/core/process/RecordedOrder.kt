package io.buckthornlever.core.process

import io.buckthornlever.api.process.PoolName
import kotlinx.serialization.Serializable

/**
 * An order as stored before it is given, either to the cloud or to an engine.
 *
 * @property requestId identity of the order for its receiver; a successor of the lease holder repeats the order with the same one
 * @property fencing fencing number under which the order was recorded
 * @property start what to start for [pool]; null for an order to an engine
 * @property engine what to order from an engine; null for a start
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
