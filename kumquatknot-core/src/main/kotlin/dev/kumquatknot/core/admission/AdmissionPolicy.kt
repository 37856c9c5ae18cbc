package dev.kumquatknot.core.admission

import dev.kumquatknot.core.configuration.Rank
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * How an [AdmissionQueue] decides.
 *
 * @property selectFlow picks the flow whose head runs next.
 * @property adjustLimit adapts the number of statements that run at the same time.
 * @property rankWeights shares of the ranks; used by [weightedFairWithDeadlines] only.
 * @property initialServiceTime assumed until a kind's service time has been measured.
 * @property serviceTimeWeight weight of a sample in the service time that estimates use.
 * @property baselineWeight weight of a sample in the long-term service time that degradation is measured against.
 * @property usageWindow time over which the slot time of each rank is averaged.
 * @property standingInterval time after which a queue that exceeds its part of the target counts as standing.
 * @property standingShare part of the target for which an item may stay at the member once the queue counts as
 * standing; the rest is for the way there and back.
 * @property random numbers between 0 and 1 that spread the times at which refused callers come back.
 */
public data class AdmissionPolicy(
    val selectFlow: SelectFlow = ::strictRankWithFloors,
    val adjustLimit: AdjustLimit = ::gradientLimit,
    val rankWeights: Map<Rank, Double> = DEFAULT_RANK_WEIGHTS,
    val initialServiceTime: Duration = 5.milliseconds,
    val serviceTimeWeight: Double = 0.1,
    val baselineWeight: Double = 0.002,
    val usageWindow: Duration = 500.milliseconds,
    val standingInterval: Duration = 100.milliseconds,
    val standingShare: Double = 0.5,
    val random: () -> Double = { MIDDLE },
) {
    private companion object {
        const val MIDDLE = 0.5
        val DEFAULT_RANK_WEIGHTS: Map<Rank, Double> =
            mapOf(Rank.URGENT to 100.0, Rank.STANDARD to 10.0, Rank.BACKGROUND to 1.0)
    }
}
