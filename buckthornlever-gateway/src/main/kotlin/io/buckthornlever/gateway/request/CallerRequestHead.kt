package io.buckthornlever.gateway.request

import java.time.Duration

/**
 * Decoded head of a caller's request.
 *
 * @property requestId unique for each attempt of the caller; null if the caller sent none
 * @property timeLeft how long the caller waits for the response; null if it does not say
 * @property apiKey API key; null if the caller sent none
 * @property promptParts parts of the prompt, in order
 * @property promptTokens number of tokens of the prompt
 * @property maxOutputTokens largest number of tokens of the response
 * @property outputTokensHint the caller's estimate of the number of output tokens; null if it sent none
 * @property lastEventId ID of the last event that the caller received of the stream that it resumes; null if it resumes none
 */
public data class CallerRequestHead(
    val requestId: String?,
    val timeLeft: Duration?,
    val apiKey: String?,
    val promptParts: List<PromptPart>,
    val promptTokens: Int,
    val maxOutputTokens: Int,
    val lastEventId: Long?,
    val outputTokensHint: Int? = null,
) {
    /** Parts of the prompt that other requests may share: all but the last. */
    val sharedParts: List<PromptPart> get() = promptParts.dropLast(1)

    /** Output tokens that the caller expects, or else the most that it allows. */
    val expectedOutputTokens: Int get() = outputTokensHint ?: maxOf(0, maxOutputTokens)

    /** Ids of the [sharedParts]. */
    val sharedPartIds: List<Long> get() = sharedParts.map { it.id }
}
