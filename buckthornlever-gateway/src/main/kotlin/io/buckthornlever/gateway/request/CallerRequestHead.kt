package io.buckthornlever.gateway.request

import java.time.Duration

/**
 * What a request of a caller says about itself.
 *
 * @property requestId unique per attempt of the caller; null when the caller sent none
 * @property timeLeft how long the caller will wait
 * @property apiKey API key
 * @property promptParts parts of the prompt in order
 * @property promptTokens tokens of the prompt
 * @property maxOutputTokens most tokens of the answer
 * @property lastEventId last event that the caller has of a stream that it resumes
 */
public data class CallerRequestHead(
    val requestId: String?,
    val timeLeft: Duration?,
    val apiKey: String?,
    val promptParts: List<PromptPart>,
    val promptTokens: Int,
    val maxOutputTokens: Int,
    val lastEventId: Long?,
)
