package dev.kumquatknot.core.limit

import kotlin.math.exp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Number of events per second, with exponentially falling weight of older ones. */
internal class RateEstimate {
    private var weight = 0.0
    private var updatedAt = Duration.ZERO

    fun record(now: Duration) {
        weight = decayed(now) + 1
        updatedAt = now
    }

    fun perSecond(now: Duration): Double = decayed(now)

    private fun decayed(now: Duration) = weight * exp(-((now - updatedAt) / PERIOD).coerceAtLeast(0.0))

    private companion object {
        /** A second, so that the sum of the weights is the number of events per second. */
        val PERIOD = 1.seconds
    }
}
