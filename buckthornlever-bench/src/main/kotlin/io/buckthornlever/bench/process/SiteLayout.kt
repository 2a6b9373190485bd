package io.buckthornlever.bench.process

import io.buckthornlever.api.process.FailureDomain

/**
 * Size and routes of a site.
 *
 * @property longModel model whose requests take long
 * @property briefModel model whose requests a person waits for
 */
internal class SiteLayout(
    val domains: List<FailureDomain>,
    val engines: Int,
    val services: Int,
    val longModel: String,
    val briefModel: String,
    val nonRepeatablePaths: List<String>,
    val lookupPaths: List<String>,
) {
    /** Failure domain of the upstream or instance with number [index]. */
    fun domainOf(index: Int): FailureDomain = domains[index % domains.size]

    companion object {
        /** Entry instances of each site. */
        const val ENTRY_INSTANCES: Int = 9

        /** Client accounts of each site with their weights; a few are large. */
        val ACCOUNT_WEIGHTS: List<Double> = listOf(4.0, 3.0, 1.0, 1.0, 1.0)

        fun of(site: Site): SiteLayout =
            when (site) {
                Site.PECAN_ROW ->
                    SiteLayout(
                        domains = listOf("tx-central-a", "tx-central-b", "tx-central-c").map(::FailureDomain),
                        engines = 6,
                        services = 3,
                        longModel = "course-feedback",
                        briefModel = "tasting-notes",
                        nonRepeatablePaths = listOf("/enrolments/charges", "/certificates"),
                        lookupPaths = listOf("/schedules", "/rosters"),
                    )
                Site.KASAVU_LINE ->
                    SiteLayout(
                        domains = listOf("kochi-a", "kochi-b", "kochi-c").map(::FailureDomain),
                        engines = 8,
                        services = 3,
                        longModel = "drafting",
                        briefModel = "suggestions",
                        nonRepeatablePaths = listOf("/orders", "/payments"),
                        lookupPaths = listOf("/proofs"),
                    )
            }
    }
}
