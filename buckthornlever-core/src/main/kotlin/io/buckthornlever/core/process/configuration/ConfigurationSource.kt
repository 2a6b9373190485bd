package io.buckthornlever.core.process.configuration

/** Where a table came from. */
public enum class ConfigurationSource {
    STORE,
    PEER,
    SETTINGS,
}
