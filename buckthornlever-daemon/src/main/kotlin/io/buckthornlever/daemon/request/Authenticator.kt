package io.buckthornlever.daemon.request

import io.buckthornlever.api.process.AccountTable
import io.buckthornlever.api.process.ClientAccount
import java.security.MessageDigest
import java.util.HexFormat

/** Looks up the client account of an API key. */
internal object Authenticator {
    private const val SCHEME = "Bearer "

    /** Returns the account of the `Authorization` header [authorization], or null. Compares every key in constant time. */
    fun accountOf(
        authorization: String?,
        table: AccountTable,
    ): ClientAccount? {
        if (authorization == null || !authorization.startsWith(SCHEME)) return null
        val digest = sha256(authorization.substring(SCHEME.length).trim())
        return table.accounts.fold(null as ClientAccount?) { found, account ->
            if (MessageDigest.isEqual(digest, account.apiKeySha256.toByteArray())) account else found
        }
    }

    private fun sha256(key: String): ByteArray =
        HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(key.toByteArray())).toByteArray()
}
