package io.buckthornlever.core.request

import io.buckthornlever.api.process.FailureDomain
import io.buckthornlever.api.process.Pool
import io.buckthornlever.api.process.PoolTable
import io.buckthornlever.api.process.UpstreamSpec
import io.buckthornlever.api.version.VersionLabel
import io.buckthornlever.core.process.UpstreamRuntime

/** Builds the [PoolIndex] of each pool, so that the cost of a decision does not depend on the number of upstreams. */
internal class RoutingIndexBuilder(
    private val runtime: (UpstreamSpec) -> UpstreamRuntime,
    private val target: (String) -> UtilisationTarget,
) {
    fun build(table: PoolTable): List<PoolIndex> {
        val domainsOut = table.domainsOut.toSet()
        return table.pools.map { index(it, domainsOut) }
    }

    private fun index(
        pool: Pool,
        domainsOut: Set<FailureDomain>,
    ): PoolIndex {
        val allowedDomains = pool.failureDomains.toSet()
        val allowedVersions = pool.versions.toSet()
        val byReason = pool.upstreams.groupBy { exclusion(it, domainsOut, allowedDomains, allowedVersions) }
        val exclusions = byReason.mapNotNull { (reason, specs) -> reason?.let { PoolExclusion(pool.name, it, specs.size) } }
        val groups =
            byReason[null]
                .orEmpty()
                .groupBy { it.version }
                .map { (version, specs) -> VersionGroup(version, tiers("${pool.name}/$version", specs)) }
                .sortedWith(compareBy({ preference(pool, it.version) }, { it.version }))
        return PoolIndex(pool, groups, exclusions)
    }

    private fun exclusion(
        spec: UpstreamSpec,
        domainsOut: Set<FailureDomain>,
        allowedDomains: Set<FailureDomain>,
        allowedVersions: Set<VersionLabel>,
    ): Verdict? =
        when {
            spec.failureDomain in domainsOut -> Verdict.DOMAIN_OUT
            allowedDomains.isNotEmpty() && spec.failureDomain !in allowedDomains -> Verdict.DOMAIN_NOT_ALLOWED
            allowedVersions.isNotEmpty() && spec.version !in allowedVersions -> Verdict.VERSION_NOT_ALLOWED
            else -> null
        }

    private fun preference(
        pool: Pool,
        version: VersionLabel,
    ): Int = pool.versions.indexOf(version).let { if (it < 0) Int.MAX_VALUE else it }

    private fun tiers(
        name: String,
        specs: List<UpstreamSpec>,
    ): List<PriceTier> {
        val sorted = specs.sortedWith(compareBy({ pricePerUnit(it) }, { it.id }))
        val specsByTier = mutableListOf<MutableList<UpstreamSpec>>()
        for (spec in sorted) {
            val first = specsByTier.lastOrNull()?.first()
            val startsNewTier =
                first == null || (specsByTier.size < MAX_TIERS && pricePerUnit(spec) > pricePerUnit(first) * MAX_TIER_PRICE_RATIO)
            if (startsNewTier) specsByTier.add(mutableListOf())
            specsByTier.last().add(spec)
        }
        return specsByTier.mapIndexed { index, tierSpecs -> tier("$name/$index", tierSpecs) }
    }

    private fun tier(
        name: String,
        specs: List<UpstreamSpec>,
    ): PriceTier {
        val members = specs.map(runtime).toTypedArray()
        val tier = PriceTier(pricePerUnit(specs.first()), members, target(name))
        members.forEachIndexed { index, member ->
            val membership = tier.Membership(index)
            member.memberships += membership
            membership.update()
        }
        return tier
    }

    private fun pricePerUnit(spec: UpstreamSpec): Double = spec.pricePerHour / maxOf(1, spec.concurrency)

    private companion object {
        /** Maximum tiers per pool and version. A decision visits a few candidates per tier, so this bounds its time. */
        const val MAX_TIERS = 4

        /**
         * Price ratio from which an upstream starts a new tier. Moving a prefix to an upstream that is cheaper by less costs more
         * recomputation than it saves.
         */
        const val MAX_TIER_PRICE_RATIO = 1.1
    }
}
