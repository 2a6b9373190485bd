package io.buckthornlever.gateway.request

import java.time.Duration

/**
 * Decoded head of a caller's request.
 *
 * @property requestId unique for each attempt of the caller; null if the caller sent none
 * @property timeLeft how long the caller waits for the response; null if it does not say
 * @property key API key; null if the caller sent none
 * @property parts parts of the prompt, in order
 * @property promptTokens number of tokens of the prompt
 * @property outputTokens largest number of tokens of the response
 * @property lastEventId ID of the last event that the caller received of the stream that it resumes; null if it resumes none
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
