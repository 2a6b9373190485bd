package io.buckthornlever.core.process.configuration

import io.buckthornlever.api.process.Configuration
import io.buckthornlever.api.process.Finding
import io.buckthornlever.api.process.ObjectVersion
import io.buckthornlever.core.process.membership.MemberAddress
import io.buckthornlever.core.process.membership.TableRevisions

/** Output of [ConfigurationSync]. */
public sealed interface ConfigurationCommand {
    /** Read all tables from the store. */
    public data object ListTables : ConfigurationCommand

    /** Wait for a change of the tables after [since]. */
    public data class WatchTables(
        val since: ObjectVersion,
    ) : ConfigurationCommand

    /** Request from [from] the changes since [since]. */
    public data class PullTables(
        val from: MemberAddress,
        val since: TableRevisions,
    ) : ConfigurationCommand

    /** [configuration] is in effect from now on; [source] brought the change. */
    public data class Activate(
        val configuration: Configuration,
        val source: ConfigurationSource,
    ) : ConfigurationCommand

    /** The combination of tables with [revisions] is refused as a whole because of [findings]. */
    public data class Refused(
        val revisions: TableRevisions,
        val findings: List<Finding>,
    ) : ConfigurationCommand
}
