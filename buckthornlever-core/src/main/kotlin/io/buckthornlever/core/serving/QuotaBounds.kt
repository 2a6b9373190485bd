package io.buckthornlever.core.serving

import java.time.Duration

/**
 * How exactly the quotas of client accounts are kept over all instances.
 *
 * @property window length of the window in which usage is compared with the quota
 * @property overshoot part of the quota by which the sum may exceed it
 * @property slack units by which the sum may exceed the quota besides
 */
public data class QuotaBounds(
    val window: Duration = Duration.ofSeconds(8),
    val overshoot: Double = 0.1,
    val slack: Double = 0.0,
)
