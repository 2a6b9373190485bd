package io.buckthornlever.core.request

/**
 * Divides a pool's requests among its versions by weight. A key prefers the same version each time, for the sake of caches,
 * but a version only takes a request while it has credit: after `n` requests it has had at most `weight * n + 1` of them.
 */
internal class VersionShares(
    weights: DoubleArray,
    private val credits: DoubleArray = DoubleArray(weights.size),
) {
    private val shares: DoubleArray = normalised(weights)

    /** Shares by other [weights] that continue with the same credits, so that frequent changes give no extra requests. */
    fun reweighted(weights: DoubleArray): VersionShares = VersionShares(weights, credits)

    /** Share of version [index], between 0 and 1. */
    fun share(index: Int): Double = shares[index]

    /** Index of the version for [key], or -1 when all weights are zero. */
    fun choose(key: Long): Int {
        val preferred = preferred(key)
        if (preferred < 0 || credits[preferred] + shares[preferred] > 0) return preferred
        return shares.indices.filter { shares[it] > 0 }.maxBy { credits[it] + shares[it] }
    }

    /** Charges one request to version [index]. */
    fun charge(index: Int) {
        for (i in credits.indices) credits[i] += shares[i]
        credits[index] -= 1.0
    }

    private fun preferred(key: Long): Int {
        var point = Hashing.toUnitInterval(Hashing.mix(key xor SALT))
        var last = -1
        for (i in shares.indices) {
            if (shares[i] <= 0) continue
            last = i
            point -= shares[i]
            if (point < 0) return i
        }
        return last
    }

    private fun normalised(weights: DoubleArray): DoubleArray {
        val sum = weights.sumOf { maxOf(0.0, it) }
        return DoubleArray(weights.size) { if (sum > 0) maxOf(0.0, weights[it]) / sum else 0.0 }
    }

    private companion object {
        /** Keeps the choice of the version independent of the choice of the upstream for the same key. */
        const val SALT = 0x6a09e667f3bcL
    }
}
