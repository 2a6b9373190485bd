package io.buckthornlever.core.process

/** Decides how many instances of each offer a pool should have. */
public interface CapacityPlanner {
    /**
     * Wanted number of instances per offer.
     *
     * @param offers offers that can be had now; those whose start was refused lately are left out
     * @param existing present number of instances per offer; keeping one is preferred over a slightly cheaper new one
     */
    public fun plan(
        demand: CapacityDemand,
        offers: List<InstanceOffer>,
        existing: Map<OfferKey, Int>,
    ): Map<OfferKey, Int>
}
