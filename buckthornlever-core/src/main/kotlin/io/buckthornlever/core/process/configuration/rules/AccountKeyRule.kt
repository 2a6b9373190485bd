package io.buckthornlever.core.process.configuration.rules

import io.buckthornlever.api.process.Configuration
import io.buckthornlever.api.process.Finding
import io.buckthornlever.core.process.configuration.ConfigurationRule

/** The hash of an API key is 64 lower-case hexadecimal digits and belongs to one account only. */
public class AccountKeyRule : ConfigurationRule {
    override fun check(configuration: Configuration): List<Finding> {
        val first = HashMap<String, Int>()
        return configuration.accounts.accounts.mapIndexedNotNull { index, account ->
            val path = "accounts[$index].apiKeySha256"
            val earlier = first.putIfAbsent(account.apiKeySha256, index)
            when {
                !HASH.matches(account.apiKeySha256) -> Finding(path, "must be 64 lower-case hexadecimal digits")
                earlier != null -> Finding(path, "is also the key of accounts[$earlier]")
                else -> null
            }
        }
    }

    private companion object {
        val HASH = Regex("[0-9a-f]{64}")
    }
}
