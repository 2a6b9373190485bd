package io.buckthornlever.standin.request

import java.nio.ByteBuffer
import java.security.MessageDigest
import java.util.SplittableRandom

/** The text that every engine stand-in generates: a pure function of prompt, seed and token index. */
public object TokenText {
    private const val BASE = 36
    private const val WORD_BOUND = 2_176_782_336L // 36^6: at most six characters

    /** Text of the token at [index], with its leading space. */
    public fun token(
        prompt: String,
        seed: Long,
        index: Int,
    ): String = token(key(prompt, seed), index)

    /** The complete answer of [count] tokens. */
    public fun answer(
        prompt: String,
        seed: Long,
        count: Int,
    ): String {
        val key = key(prompt, seed)
        return (0 until count).joinToString("") { token(key, it) }
    }

    /** Tokens of a prompt: its words. */
    public fun tokens(prompt: String): List<String> = prompt.split(' ', '\n', '\t', '\r').filter { it.isNotEmpty() }

    /** The prompt that a chat request stands for; each message is a pair of role and content. */
    public fun chatPrompt(messages: List<Pair<String, String>>): String =
        messages.joinToString("\n") { (role, content) -> "$role: $content" }

    internal fun key(
        prompt: String,
        seed: Long,
    ): Long = ByteBuffer.wrap(MessageDigest.getInstance("SHA-256").digest("$seed\n$prompt".toByteArray())).long

    internal fun token(
        key: Long,
        index: Int,
    ): String = " " + SplittableRandom(key + index).nextLong(WORD_BOUND).toString(BASE)
}
