package dev.kumquatknot.core.limit

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** The highest of the numbers that were recorded within [period]. */
internal class HighestCount(private val period: Duration = PERIOD) {
    private val recorded = ArrayDeque<Pair<Duration, Int>>()

    fun record(now: Duration, count: Int) {
        if (count <= 0) return
        while (recorded.isNotEmpty() && recorded.last().second <= count) recorded.removeLast()
        recorded.addLast(now to count)
    }

    /** Returns the highest number; 0 if none was recorded. */
    fun highest(now: Duration): Int {
        while (recorded.isNotEmpty() && recorded.first().first < now - period) recorded.removeFirst()
        return recorded.firstOrNull()?.second ?: 0
    }

    private companion object {
        /** Views of VMs that left differ for some seconds; too high a number only lowers what a VM may grant. */
        val PERIOD = 10.seconds
    }
}
