package io.buckthornlever.core.process

import io.buckthornlever.api.process.CloudInstance

/**
 * What the cloud reports.
 *
 * @property instances all instances, including those that are starting
 * @property ready ids of instances that bear their full capacity
 * @property leaving ids of instances with a reclaim notice
 */
public data class CapacityView(
    val instances: List<CloudInstance> = emptyList(),
    val ready: Set<String> = emptySet(),
    val leaving: Set<String> = emptySet(),
    val offers: List<InstanceOffer> = emptyList(),
)
