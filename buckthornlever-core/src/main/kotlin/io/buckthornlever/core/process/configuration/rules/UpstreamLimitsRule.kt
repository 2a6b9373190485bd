package io.buckthornlever.core.process.configuration.rules

import io.buckthornlever.api.process.Configuration
import io.buckthornlever.api.process.Finding
import io.buckthornlever.core.process.configuration.ConfigurationRule

/** Concurrency and price of an upstream are within bounds, and the concurrency of a cold upstream does not exceed that of a warm one. */
public class UpstreamLimitsRule : ConfigurationRule {
    override fun check(configuration: Configuration): List<Finding> =
        configuration.pools.pools.flatMapIndexed { index, pool ->
            pool.upstreams.flatMapIndexed { at, upstream ->
                val path = "pools[$index].upstreams[$at]"
                listOfNotNull(
                    Range.check("$path.concurrency", upstream.concurrency.toLong(), 1, MAX_CONCURRENCY),
                    Range.check("$path.coldConcurrency", upstream.coldConcurrency.toLong(), 1, upstream.concurrency.toLong()),
                    Range.check("$path.pricePerHour", upstream.pricePerHour, 0.0, MAX_PRICE),
                )
            }
        }

    private companion object {
        const val MAX_CONCURRENCY = 100_000L
        const val MAX_PRICE = 1_000_000.0
    }
}
