package io.buckthornlever.core.process.configuration

import io.buckthornlever.api.process.Configuration
import io.buckthornlever.api.process.InstanceId
import io.buckthornlever.api.process.ObjectVersion
import io.buckthornlever.core.process.membership.MemberAddress
import io.buckthornlever.core.process.membership.TableRevisions

/** Input of [ConfigurationSync]. */
public sealed interface ConfigurationEvent {
    /** Time has passed. */
    public data object Tick : ConfigurationEvent

    /** The live members, including this instance, are now [members]. */
    public data class LiveChanged(
        val members: List<MemberAddress>,
    ) : ConfigurationEvent

    /** [tables] were read from [source]; a table with revision 0 is absent. */
    public data class Offered(
        val tables: Configuration,
        val source: ConfigurationSource,
    ) : ConfigurationEvent

    /** The store answered a list or watch call; its state is known up to [revision]. */
    public data class StoreAnswered(
        val revision: ObjectVersion,
        val tables: Configuration,
    ) : ConfigurationEvent

    /** The store did not answer a list or watch call. */
    public data object StoreFailed : ConfigurationEvent

    /** [from] has tables with [revisions] in effect. */
    public data class RevisionsHeard(
        val from: MemberAddress,
        val revisions: TableRevisions,
    ) : ConfigurationEvent

    /** [from] answered a pull. */
    public data class DeltaReceived(
        val from: InstanceId,
        val delta: ConfigurationDelta,
    ) : ConfigurationEvent

    /** [from] did not answer a pull. */
    public data class PullFailed(
        val from: InstanceId,
    ) : ConfigurationEvent
}
