package dev.kumquatknot.core.interactive

import dev.kumquatknot.core.balancing.LoadEstimate
import dev.kumquatknot.core.balancing.MemberChoice
import dev.kumquatknot.core.history.HistoryPoint
import dev.kumquatknot.core.identity.MemberName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Last known state of a member that may serve a read.
 *
 * @property point end of the member's log in its last response; null if unknown.
 * @property pointAge time since [point] was observed.
 * @property expectedWait expected time until this VM has a slot for another statement of its own.
 * @property distance network round-trip time.
 * @property remote whether the member is in another region.
 * @property load estimate of the load of all VMs; null if it is not estimated.
 */
public data class ReadCandidate(
    val name: MemberName,
    val primary: Boolean,
    val point: HistoryPoint?,
    val pointAge: Duration,
    val expectedWait: Duration,
    val distance: Duration,
    val remote: Boolean,
    val load: LoadEstimate? = null,
)

/**
 * Selects the member that runs a read, so that replicas carry the load that they can: the nearest replica known to be
 * fresh enough is preferred, a remote one is used only if it is faster by more than its traffic costs, and the primary
 * comes last because it has to serve the writes.
 *
 * @param choice chooses by load among members of comparable cost; null to go by this VM's own queues alone, which is
 * enough where few VMs use a member.
 */
public class ReadPlacement(
    private val costs: PlacementCosts = PlacementCosts(),
    private val choice: MemberChoice? = null,
) {
    /** Returns the best candidate for a read that requires [required]; null if none is eligible. */
    public fun choose(candidates: List<ReadCandidate>, required: HistoryPoint): ReadCandidate? {
        val eligible = candidates.filter { it.primary || mayHaveReached(it, required) }
        val isEstimated = eligible.isNotEmpty() && eligible.all { it.load != null }
        return if (choice == null || !isEstimated) {
            eligible.minByOrNull { fixedCost(it, required) + it.expectedWait }
        } else {
            chooseByLoad(eligible.map { Option(it, fixedCost(it, required)) }, choice)
        }
    }

    private fun chooseByLoad(options: List<Option>, choice: MemberChoice): ReadCandidate {
        val limit = options.minOf { it.cost } + costs.comparable
        val (comparable, others) = options.partition { it.cost <= limit }
        val chosen = comparable[choice.choose(comparable.map { it.load })]
        val other = others.minByOrNull { it.total } ?: return chosen.candidate
        return if (choice.leaves(chosen.load, chosen.total - other.total)) other.candidate else chosen.candidate
    }

    private fun mayHaveReached(candidate: ReadCandidate, required: HistoryPoint): Boolean =
        candidate.point?.covers(required) ?: true || candidate.pointAge >= costs.staleAfter

    private fun fixedCost(candidate: ReadCandidate, required: HistoryPoint): Duration {
        var cost = candidate.distance
        if (candidate.remote) cost += costs.remote
        if (candidate.primary) cost += costs.primary
        val known = candidate.point?.covers(required) ?: false
        if (!candidate.primary && !known) cost += costs.uncertain
        return cost
    }

    /** A [candidate] with the [cost] that does not depend on its load. */
    private class Option(val candidate: ReadCandidate, val cost: Duration) {
        /** Estimated load, including the statements that wait on this VM for their turn. */
        val load: LoadEstimate = checkNotNull(candidate.load).let { estimate ->
            val ownQueue = candidate.expectedWait / estimate.serviceTime * estimate.slots
            estimate.copy(occupied = estimate.occupied + ownQueue)
        }

        val total: Duration get() = cost + load.expectedWait
    }
}

/**
 * Costs of a placement, as the additional waiting time that is accepted to avoid it.
 *
 * @property remote a response from another region, for its traffic.
 * @property primary use of a primary's slot by a read that a replica can serve.
 * @property uncertain an attempt at a replica that may reject the read as not fresh enough.
 * @property comparable difference of costs up to which the load decides.
 * @property staleAfter age from which the last known end of a replica's log is no longer used to exclude the replica.
 */
public data class PlacementCosts(
    val remote: Duration = 60.milliseconds,
    val primary: Duration = 40.milliseconds,
    val uncertain: Duration = 30.milliseconds,
    val comparable: Duration = 15.milliseconds,
    val staleAfter: Duration = 150.milliseconds,
)
