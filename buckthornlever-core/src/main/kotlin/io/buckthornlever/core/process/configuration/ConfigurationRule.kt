package io.buckthornlever.core.process.configuration

import io.buckthornlever.api.process.Configuration
import io.buckthornlever.api.process.Finding

/** One requirement that every accepted configuration meets. */
public fun interface ConfigurationRule {
    /** Every place in [configuration] that breaks the requirement; empty when there is none. */
    public fun check(configuration: Configuration): List<Finding>
}
