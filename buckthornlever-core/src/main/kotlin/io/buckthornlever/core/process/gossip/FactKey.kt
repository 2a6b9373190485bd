package io.buckthornlever.core.process.gossip

/**
 * Identity of a [Fact]; facts with the same key are joined.
 *
 * @property kind type of the fact
 * @property parts identifying values, in the order of the fact's declaration
 */
public data class FactKey(
    val kind: FactKind,
    val parts: List<String>,
)
