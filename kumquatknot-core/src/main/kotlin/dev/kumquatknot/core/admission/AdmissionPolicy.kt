package dev.kumquatknot.core.admission

import dev.kumquatknot.core.configuration.Rank
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Scheduling and overload settings of an [AdmissionQueue].
 *
 * @property selectFlow picks the flow whose head runs next.
 * @property adjustLimit adapts the concurrency limit after each statement.
 * @property rankWeights shares of the ranks; used by [weightedFairWithDeadlines] only.
 * @property initialServiceTime service time assumed for a kind until its first sample.
 * @property serviceTimeWeight weight of a sample in the service time that estimates use.
 * @property baselineWeight weight of a sample in the long-term service time that recent samples are compared with.
 * @property usageWindow time constant of the average slot time that each rank uses.
 * @property standingQueueInterval time for which expected answers must keep exceeding their share of the target
 * before the queue counts as standing.
 * @property standingQueueTargetShare share of the target that an item may spend waiting and running once the
 * queue counts as standing; the rest is left for the network round trip.
 * @property random returns numbers between 0 and 1, used as jitter for the retry time of refused callers.
 */
public data class AdmissionPolicy(
    val selectFlow: SelectFlow = ::strictRankWithFloors,
    val adjustLimit: AdjustLimit = ::gradientLimit,
    val rankWeights: Map<Rank, Double> = DEFAULT_RANK_WEIGHTS,
    val initialServiceTime: Duration = 5.milliseconds,
    val serviceTimeWeight: Double = 0.1,
    val baselineWeight: Double = 0.002,
    val usageWindow: Duration = 500.milliseconds,
    val standingQueueInterval: Duration = 100.milliseconds,
    val standingQueueTargetShare: Double = 0.5,
    val random: () -> Double = { FIXED_JITTER },
) {
    private companion object {
        const val FIXED_JITTER = 0.5
        val DEFAULT_RANK_WEIGHTS: Map<Rank, Double> =
            mapOf(Rank.URGENT to 100.0, Rank.STANDARD to 10.0, Rank.BACKGROUND to 1.0)
    }
}
