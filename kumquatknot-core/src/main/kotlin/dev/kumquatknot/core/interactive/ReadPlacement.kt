package dev.kumquatknot.core.interactive

import dev.kumquatknot.core.history.HistoryPoint
import dev.kumquatknot.core.identity.MemberName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * What is known of a member that may serve a read.
 *
 * @property point end of its log when it answered last; null where it is not known.
 * @property expectedWait time until it would begin with one more statement.
 * @property distance time of the way there and back.
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
 * Chooses where a read runs. Answers load that replicas can carry: the nearest replica that is known to be fresh enough
 * serves, a farther or busier one only where that is quicker by more than its traffic costs, and the primary, which has
 * the writes to serve, comes last.
 */
public class ReadPlacement(private val costs: PlacementCosts = PlacementCosts()) {
    /** Returns the candidate that serves best a read that needs [required]; null where there is none. */
    public fun choose(candidates: List<ReadCandidate>, required: HistoryPoint): ReadCandidate? =
        candidates.filter { it.primary || mayHave(it, required) }.minByOrNull { costOf(it, required) }

    private fun mayHave(candidate: ReadCandidate, required: HistoryPoint): Boolean =
        candidate.point?.covers(required) ?: true || candidate.pointAge >= costs.outdated

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
 * Waiting time that is accepted to avoid something.
 *
 * @property remote the traffic of an answer from another region.
 * @property primary the use of a primary's slot by a read that a replica can serve.
 * @property uncertain an attempt at a replica that may have to refuse.
 * @property outdated age from which the last known end of a replica's log says little.
 */
public data class PlacementCosts(
    val remote: Duration = 60.milliseconds,
    val primary: Duration = 40.milliseconds,
    val uncertain: Duration = 30.milliseconds,
    val outdated: Duration = 150.milliseconds,
)
