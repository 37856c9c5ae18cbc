package dev.kumquatknot.proxy.interactive

import kotlin.time.Duration

/** Moving average of the time between uses of a member by this VM. */
internal class UseInterval {
    private var lastUse: Duration? = null
    private var uses = 0

    /** The average; zero until the member was used twice. */
    var average: Duration = Duration.ZERO
        private set

    /** Records a use at [now]. */
    fun record(now: Duration) {
        val previous = lastUse
        lastUse = now
        if (previous == null) return
        uses = (uses + 1).coerceAtMost(WINDOW)
        average += (now - previous - average) / uses
    }

    private companion object {
        /** Number of intervals over which the average is taken. */
        const val WINDOW = 16
    }
}
