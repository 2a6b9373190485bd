package io.buckthornlever.api.process

/** Why a table or settings file is rejected; the one in effect stays. */
public sealed interface ConfigurationError {
    /** The text is not valid JSON or does not have the expected structure. */
    public data class Malformed(
        val detail: String,
    ) : ConfigurationError

    /** The text is well formed, but its content violates the rules named by [findings]. */
    public data class Invalid(
        val findings: List<Finding>,
    ) : ConfigurationError
}
