package io.buckthornlever.core.process.configuration

import io.buckthornlever.api.process.Configuration
import io.buckthornlever.api.process.Finding

/** One requirement that every accepted configuration satisfies. */
public fun interface ConfigurationRule {
    /** Returns one finding for each violation in [configuration]; empty when there is none. */
    public fun check(configuration: Configuration): List<Finding>
}
