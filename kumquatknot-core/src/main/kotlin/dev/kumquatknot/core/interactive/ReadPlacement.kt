package dev.kumquatknot.core.interactive

import dev.kumquatknot.core.history.HistoryPoint
import dev.kumquatknot.core.identity.MemberName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Last known state of a member that may serve a read.
 *
 * @property point end of the member's log in its last response; null if unknown.
 * @property pointAge time since [point] was observed.
 * @property expectedWait expected time until the member starts another statement.
 * @property distance network round-trip time.
 * @property remote whether the member is in another region.
 */
public data class ReadCandidate(
    val name: MemberName,
    val primary: Boolean,
    val point: HistoryPoint?,
    val pointAge: Duration,
    val expectedWait: Duration,
    val distance: Duration,
    val remote: Boolean,
)

/**
 * Selects the member that runs a read, so that replicas carry the load that they can: the nearest replica known to be
 * fresh enough is preferred, a remote one is used only if it is faster by more than its traffic costs, and the primary
 * comes last because it has to serve the writes.
 */
public class ReadPlacement(private val costs: PlacementCosts = PlacementCosts()) {
    /** Returns the candidate with the lowest cost for a read that requires [required]; null if none is eligible. */
    public fun choose(candidates: List<ReadCandidate>, required: HistoryPoint): ReadCandidate? =
        candidates.filter { it.primary || mayHaveReached(it, required) }.minByOrNull { costOf(it, required) }

    private fun mayHaveReached(candidate: ReadCandidate, required: HistoryPoint): Boolean =
        candidate.point?.covers(required) ?: true || candidate.pointAge >= costs.staleAfter

    private fun costOf(candidate: ReadCandidate, required: HistoryPoint): Duration {
        var cost = candidate.expectedWait + candidate.distance
        if (candidate.remote) cost += costs.remote
        if (candidate.primary) cost += costs.primary
        val known = candidate.point?.covers(required) ?: false
        if (!candidate.primary && !known) cost += costs.uncertain
        return cost
    }
}

/**
 * Costs of a placement, as the additional waiting time that is accepted to avoid it.
 *
 * @property remote a response from another region, for its traffic.
 * @property primary use of a primary's slot by a read that a replica can serve.
 * @property uncertain an attempt at a replica that may reject the read as not fresh enough.
 * @property staleAfter age from which the last known end of a replica's log is no longer used to exclude the replica.
 */
public data class PlacementCosts(
    val remote: Duration = 60.milliseconds,
    val primary: Duration = 40.milliseconds,
    val uncertain: Duration = 30.milliseconds,
    val staleAfter: Duration = 150.milliseconds,
)
