package io.buckthornlever.core.process

/** Decides how many instances of each offer a pool should have. */
public interface CapacityPlanner {
    /**
     * Returns the desired number of instances per offer.
     *
     * @param offers offers available now; those whose start was refused recently are left out
     * @param existing current number of instances per offer; keeping one is preferred to a slightly cheaper new one
     */
    public fun plan(
        demand: CapacityDemand,
        offers: List<InstanceOffer>,
        existing: Map<OfferKey, Int>,
    ): Map<OfferKey, Int>
}
