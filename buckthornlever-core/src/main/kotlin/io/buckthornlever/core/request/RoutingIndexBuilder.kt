package io.buckthornlever.core.request

import io.buckthornlever.api.process.FailureDomain
import io.buckthornlever.api.process.Pool
import io.buckthornlever.api.process.PoolTable
import io.buckthornlever.api.process.UpstreamSpec
import io.buckthornlever.api.version.VersionLabel
import io.buckthornlever.core.process.UpstreamRuntime

/** Prepares pools for selection, so that a decision does not depend on the number of upstreams. */
internal class RoutingIndexBuilder(
    private val runtime: (UpstreamSpec) -> UpstreamRuntime,
    private val target: (String) -> UtilisationTarget,
) {
    fun build(table: PoolTable): List<PoolIndex> {
        val out = table.domainsOut.toSet()
        return table.pools.map { index(it, out) }
    }

    private fun index(
        pool: Pool,
        out: Set<FailureDomain>,
    ): PoolIndex {
        val allowedDomains = pool.failureDomains.toSet()
        val allowedVersions = pool.versions.toSet()
        val byReason = pool.upstreams.groupBy { exclusion(it, out, allowedDomains, allowedVersions) }
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
        out: Set<FailureDomain>,
        allowedDomains: Set<FailureDomain>,
        allowedVersions: Set<VersionLabel>,
    ): Verdict? =
        when {
            spec.failureDomain in out -> Verdict.DOMAIN_OUT
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
        val parts = mutableListOf<MutableList<UpstreamSpec>>()
        for (spec in sorted) {
            val first = parts.lastOrNull()?.first()
            val opensTier = first == null || (parts.size < MAX_TIERS && pricePerUnit(spec) > pricePerUnit(first) * TIER_WIDTH)
            if (opensTier) parts.add(mutableListOf())
            parts.last().add(spec)
        }
        return parts.mapIndexed { index, part -> tier("$name/$index", part) }
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
        /** Decisions visit a few candidates per tier, so the number of tiers bounds their time. */
        const val MAX_TIERS = 4

        /** Upstreams whose prices differ by less share a tier; moving prefixes between them saves less than it recomputes. */
        const val TIER_WIDTH = 1.1
    }
}
