package dev.kumquatknot.core.routing

import dev.kumquatknot.core.history.HistoryPoint
import kotlin.time.Duration

/**
 * Estimates the replication lag of replicas from the log positions observed at them and at the primary. Interpolates
 * linearly between two points of the primary, so that estimates are finer than the interval between observations.
 *
 * Not thread-safe.
 *
 * @param maximumPoints number of recent points of the primary that are kept.
 */
public class LagEstimator(private val maximumPoints: Int = DEFAULT_MAXIMUM_POINTS) {
    private val observed = ArrayDeque<ProvenPoint>()

    /** Records that the primary was at [point] at the time [at]. */
    public fun observePrimary(point: HistoryPoint, at: Duration) {
        val last = observed.lastOrNull()
        if (last != null && (at < last.seenAt || last.point > point)) return
        observed.addLast(ProvenPoint(point, at))
        if (observed.size > maximumPoints) observed.removeFirst()
    }

    /** Returns the lag of a replica that was at [point] at the time [at]; null if all kept points are newer. */
    public fun lag(point: HistoryPoint, at: Duration): Duration? {
        val index = observed.indexOfLast { point.covers(it.point) }
        if (index < 0) return null
        val before = observed[index]
        val after = observed.getOrNull(index + 1) ?: return ((at - before.seenAt) / 2).coerceAtLeast(Duration.ZERO)
        return (at - timeAt(point, before, after)).coerceAtLeast(Duration.ZERO)
    }

    /** Interpolated time at which the primary was at [point], between [before] and [after]. */
    private fun timeAt(point: HistoryPoint, before: ProvenPoint, after: ProvenPoint): Duration {
        if (point.term != after.point.term || before.point.term != after.point.term) return before.seenAt
        val growth = after.point.position.value - before.point.position.value
        val progress = point.position.value - before.point.position.value
        return before.seenAt + (after.seenAt - before.seenAt) * (progress.toDouble() / growth)
    }

    private companion object {
        const val DEFAULT_MAXIMUM_POINTS = 64
    }
}
