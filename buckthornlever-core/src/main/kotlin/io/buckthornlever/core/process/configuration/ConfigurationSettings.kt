package io.buckthornlever.core.process.configuration

import java.time.Duration

/**
 * Periods and limits of [ConfigurationSync].
 *
 * @property watchersPerDomain instances per failure domain that watch the store
 * @property startupWait time in which a starting instance without tables waits for peers before it reads the store itself
 * @property pullTimeout time without a response after which a pull counts as failed
 * @property minBackoff first wait after a failed store call
 * @property maxBackoff longest wait after a failed store call
 */
public data class ConfigurationSettings(
    val watchersPerDomain: Int = 2,
    val startupWait: Duration = Duration.ofSeconds(1),
    val pullTimeout: Duration = Duration.ofSeconds(2),
    val minBackoff: Duration = Duration.ofMillis(200),
    val maxBackoff: Duration = Duration.ofSeconds(10),
)
