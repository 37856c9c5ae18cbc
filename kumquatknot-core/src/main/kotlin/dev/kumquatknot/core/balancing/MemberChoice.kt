package dev.kumquatknot.core.balancing

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Chooses among members by estimates of their load that are out of date, while many other VMs choose by similar ones.
 *
 * The member with the lowest estimate would get the load of all VMs until the next observation. So the choice is
 * random, and each member is drawn in proportion to the statements that it can take within a horizon beyond those that
 * occupy it already: with a short horizon that is the member with the least work, with a long one the load is spread by
 * throughput. The horizon grows with the age of the estimates.
 *
 * @param random returns a number from 0 until 1.
 */
public class MemberChoice(private val random: () -> Double = Random::nextDouble) {
    /** Returns the index of the chosen one of [estimates], of which there is at least one. */
    public fun choose(estimates: List<LoadEstimate>): Int {
        val weights = weights(withoutUnmeasured(estimates))
        var rest = random() * weights.sum()
        weights.forEachIndexed { index, weight ->
            rest -= weight
            if (rest < 0) return index
        }
        return weights.lastIndex
    }

    /**
     * Returns whether to leave a member with [estimate] for one that costs [saving] less: the surer the estimate is,
     * the more of the load moves at once.
     */
    public fun leaves(estimate: LoadEstimate, saving: Duration): Boolean =
        saving.isPositive() && horizon(estimate.age) * random() < saving

    /** A member of unknown speed counts as fast as the known ones are on average, so that it is measured soon. */
    private fun withoutUnmeasured(estimates: List<LoadEstimate>): List<LoadEstimate> {
        val measured = estimates.filter { it.isMeasured }
        if (measured.isEmpty() || measured.size == estimates.size) return estimates
        val usual = measured.fold(Duration.ZERO) { sum, estimate -> sum + estimate.serviceTime } / measured.size
        return estimates.map { if (it.isMeasured) it else it.copy(serviceTime = usual) }
    }

    private fun weights(estimates: List<LoadEstimate>): List<Double> {
        val horizon = horizon(estimates.maxOf { it.age })
        val least = estimates.minOf { it.drainTime }
        return estimates.map { estimate ->
            val spare = horizon - (estimate.drainTime - least)
            estimate.throughput * (spare / horizon).coerceAtLeast(MINIMUM_SHARE)
        }
    }

    private fun horizon(age: Duration): Duration = SHORTEST_HORIZON + age.coerceAtMost(LONGEST_AGE) * AGE_SHARE

    private companion object {
        val SHORTEST_HORIZON = 20.milliseconds

        /** Longer horizons gave longer waits in the simulation of 87 VMs, shorter ones a less even use of the slots. */
        const val AGE_SHARE = 0.25
        val LONGEST_AGE = 1_000.milliseconds

        /** A member that seems overloaded still gets some statements, which show whether it is. */
        const val MINIMUM_SHARE = 0.02
    }
}
