package io.buckthornlever.api.process

/** Why a table or settings file is refused; the one in force stays. */
public sealed interface ConfigurationError {
    /** The text is not valid JSON of the expected form. */
    public data class Malformed(
        val detail: String,
    ) : ConfigurationError

    /** The text is well formed, but its content breaks rules. */
    public data class Invalid(
        val findings: List<Finding>,
    ) : ConfigurationError
}
