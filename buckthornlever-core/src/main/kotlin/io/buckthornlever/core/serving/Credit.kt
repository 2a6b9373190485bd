package io.buckthornlever.core.serving

import io.buckthornlever.api.process.AccountId

/**
 * Units of [account] that [holder] has granted to this instance.
 *
 * @property id number of the question that it answers
 * @property priority requests that are less urgent cannot spend it
 * @property expiresAt monotonic time from which it can no longer be spent
 */
public class Credit internal constructor(
    public val holder: String,
    public val id: Long,
    public val account: AccountId,
    public val priority: Int,
    internal val expiresAt: Long,
    internal var left: Double,
) {
    /** Units returned to the holder so far. */
    internal var returned = 0.0
}
