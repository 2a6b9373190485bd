package io.buckthornlever.daemon.request

import io.buckthornlever.api.process.AccountTable
import io.buckthornlever.api.process.ClientAccount
import java.security.MessageDigest
import java.util.HexFormat

/** Finds the client account that belongs to an API key. */
internal object Authenticator {
    private const val SCHEME = "Bearer "

    /** The account of the `Authorization` header [authorization], or null. Compares every key in constant time. */
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
