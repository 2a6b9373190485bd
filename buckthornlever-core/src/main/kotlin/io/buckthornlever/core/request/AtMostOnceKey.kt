package io.buckthornlever.core.request

import io.buckthornlever.api.process.AccountId
import io.buckthornlever.api.process.ObjectKey
import java.security.MessageDigest

/** Builds keys and hashes for records of non-repeatable calls. */
public object AtMostOnceKey {
    /** Object key for the `Idempotency-Key` [key] of [account]. */
    public fun of(
        account: AccountId,
        key: String,
    ): ObjectKey = ObjectKey("once/${account.value}/${sha256(key.toByteArray())}")

    /** Hash that tells two calls under the same key apart. */
    public fun bodyHash(
        method: String,
        path: String,
        body: ByteArray,
    ): String = sha256("$method $path\n".toByteArray() + body)

    private fun sha256(bytes: ByteArray): String =
        MessageDigest.getInstance("SHA-256").digest(bytes).joinToString("") { "%02x".format(it) }
}
