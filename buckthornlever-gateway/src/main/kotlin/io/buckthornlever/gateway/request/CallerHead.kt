package io.buckthornlever.gateway.request

import java.time.Duration

/**
 * What a request of a caller says about itself.
 *
 * @property requestId unique per attempt of the caller; null when the caller sent none
 * @property timeLeft how long the caller will wait
 * @property key API key
 * @property parts parts of the prompt in order
 * @property promptTokens tokens of the prompt
 * @property outputTokens most tokens of the answer
 * @property lastEventId last event that the caller has of a stream that it resumes
 */
public data class CallerHead(
    val requestId: String?,
    val timeLeft: Duration?,
    val key: String?,
    val parts: List<PromptPart>,
    val promptTokens: Int,
    val outputTokens: Int,
    val lastEventId: Long?,
)
