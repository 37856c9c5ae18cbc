package dev.kumquatknot.operations.today

import dev.kumquatknot.core.configuration.Rank

/** Shares of requests that are to be answered within their target. */
internal object TargetGoal {
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
