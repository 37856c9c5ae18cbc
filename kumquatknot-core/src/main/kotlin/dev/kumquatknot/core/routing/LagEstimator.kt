package dev.kumquatknot.core.routing

import dev.kumquatknot.core.history.HistoryPoint
import kotlin.time.Duration

/**
 * Estimates how far replicas lag behind their primary, from the points that were seen at both. Between two points of
 * the primary its log is taken to have grown steadily, so that estimates are finer than the interval between two looks.
 *
 * Not safe for use by several threads at once.
 *
 * @param kept number of points of the primary that are remembered.
 */
public class LagEstimator(private val kept: Int = DEFAULT_KEPT) {
    private val seen = ArrayDeque<ProvenPoint>()

    /** Records that the primary was at [point] at [at]. */
    public fun observePrimary(point: HistoryPoint, at: Duration) {
        val last = seen.lastOrNull()
        if (last != null && (at < last.seenAt || last.point > point)) return
        seen.addLast(ProvenPoint(point, at))
        if (seen.size > kept) seen.removeFirst()
    }

    /** Returns the lag of a replica that was at [point] at [at]; null where all known points are newer. */
    public fun lag(point: HistoryPoint, at: Duration): Duration? {
        val index = seen.indexOfLast { point.covers(it.point) }
        if (index < 0) return null
        val reached = seen[index]
        val next = seen.getOrNull(index + 1) ?: return ((at - reached.seenAt) / 2).coerceAtLeast(Duration.ZERO)
        return (at - momentOf(point, reached, next)).coerceAtLeast(Duration.ZERO)
    }

    /** Moment at which the primary was at [point], between [reached] and [next]. */
    private fun momentOf(point: HistoryPoint, reached: ProvenPoint, next: ProvenPoint): Duration {
        if (point.term != next.point.term || reached.point.term != next.point.term) return reached.seenAt
        val growth = next.point.position.value - reached.point.position.value
        val part = point.position.value - reached.point.position.value
        return reached.seenAt + (next.seenAt - reached.seenAt) * (part.toDouble() / growth)
    }

    private companion object {
        const val DEFAULT_KEPT = 64
    }
}
