package io.buckthornlever.standin.request

import java.time.Instant

/**
 * The finished execution of one request by an engine.
 *
 * @property requestId identity of the attempt
 * @property version label of the version that executed it
 * @property priority priority of the request; 0 is first
 * @property promptTokens tokens of the prompt, resumed ones excluded
 * @property resumedTokens tokens that the request brought from an earlier attempt
 * @property prefilledTokens prompt and resumed tokens that the engine computed
 * @property recomputedTokens prefilled tokens of blocks that an engine had computed before
 * @property generatedTokens tokens that the engine generated
 */
public data class EngineExecution(
    val requestId: String,
    val version: String,
    val path: String,
    val priority: Int,
    val promptTokens: Int,
    val resumedTokens: Int,
    val prefilledTokens: Int,
    val recomputedTokens: Int,
    val generatedTokens: Int,
    val outcome: EngineOutcome,
    val arrivedAt: Instant,
    val endedAt: Instant,
)
