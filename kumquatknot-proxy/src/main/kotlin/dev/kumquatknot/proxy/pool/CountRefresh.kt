package dev.kumquatknot.proxy.pool

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Decides when a VM that lacks connections to a full member asks again how many the member has. Each further count that
 * shows a full member doubles the interval, so that the questions of all VMs stay a small load.
 */
internal class CountRefresh {
    private var countedAt = Duration.ZERO
    private var interval = SHORTEST_INTERVAL
    private var isPending = false

    /** Records a count at [now]; [isFull] is whether it allows no more connections. */
    fun recordCount(now: Duration, isFull: Boolean) {
        countedAt = now
        interval = if (isFull) minOf(interval * 2, LONGEST_INTERVAL) else SHORTEST_INTERVAL
    }

    /** Returns whether a question is due at [now]; it then counts as pending until [end]. */
    fun begin(now: Duration): Boolean {
        val isDue = !isPending && now - countedAt > interval
        if (isDue) isPending = true
        return isDue
    }

    /** Records that the question was answered or has failed. */
    fun end() {
        isPending = false
    }

    private companion object {
        val SHORTEST_INTERVAL = 150.milliseconds
        val LONGEST_INTERVAL = 3.seconds
    }
}
