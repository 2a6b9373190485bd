package io.buckthornlever.core.process

import io.buckthornlever.api.process.CloudInstance

/**
 * State of instances and offers as the cloud reports it.
 *
 * @property instances all instances, including those that are starting
 * @property ready ids of instances that can take their full capacity
 * @property leaving ids of instances with a reclaim notice
 * @property offers instance offers with their current prices
 */
public data class CapacityView(
    val instances: List<CloudInstance> = emptyList(),
    val ready: Set<String> = emptySet(),
    val leaving: Set<String> = emptySet(),
    val offers: List<InstanceOffer> = emptyList(),
)
