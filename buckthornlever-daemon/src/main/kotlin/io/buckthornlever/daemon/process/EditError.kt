package io.buckthornlever.daemon.process

import io.buckthornlever.api.process.ConfigurationError
import io.buckthornlever.api.process.FailureDomain
import io.buckthornlever.api.process.StoreError

/** Reason why an operator's change of a table was not accepted. */
internal sealed interface EditError {
    data class Refused(
        val error: ConfigurationError,
    ) : EditError

    data class Store(
        val error: StoreError,
    ) : EditError

    data class UnknownDomain(
        val domain: FailureDomain,
    ) : EditError
}
