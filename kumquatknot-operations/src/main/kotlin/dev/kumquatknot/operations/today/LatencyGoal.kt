package dev.kumquatknot.operations.today

import dev.kumquatknot.core.configuration.Rank

/** Minimum share of requests of each rank that must be answered within their target. */
internal object LatencyGoal {
    private const val URGENT = 0.999
    private const val STANDARD = 0.99
    private const val BACKGROUND = 0.95

    fun of(rank: Rank): Double =
        when (rank) {
            Rank.URGENT -> URGENT
            Rank.STANDARD -> STANDARD
            Rank.BACKGROUND -> BACKGROUND
        }
}
