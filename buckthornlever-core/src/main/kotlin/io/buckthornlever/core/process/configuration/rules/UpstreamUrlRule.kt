package io.buckthornlever.core.process.configuration.rules

import io.buckthornlever.api.process.Configuration
import io.buckthornlever.api.process.Finding
import io.buckthornlever.core.process.configuration.ConfigurationRule
import java.net.URI
import java.net.URISyntaxException

/** The URL of an upstream is absolute, uses HTTP, names a host and ends without a slash. */
public class UpstreamUrlRule : ConfigurationRule {
    override fun check(configuration: Configuration): List<Finding> =
        configuration.pools.pools.flatMapIndexed { index, pool ->
            pool.upstreams.mapIndexedNotNull { at, upstream ->
                problem(upstream.url)?.let { Finding("pools[$index].upstreams[$at].url", "'${upstream.url}' $it") }
            }
        }

    private fun problem(url: String): String? {
        val uri = try {
            URI(url)
        } catch (e: URISyntaxException) {
            return "is not a URL: ${e.reason}"
        }
        return when {
            uri.scheme != "http" && uri.scheme != "https" -> "must start with http:// or https://"
            uri.host == null -> "names no host"
            uri.query != null || uri.fragment != null -> "must have no query and no fragment"
            url.endsWith("/") -> "must not end with '/'"
            else -> null
        }
    }
}
