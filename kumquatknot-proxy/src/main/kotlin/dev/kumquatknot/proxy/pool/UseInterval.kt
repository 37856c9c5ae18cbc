package dev.kumquatknot.proxy.pool

import dev.kumquatknot.core.admission.DurationAverage
import kotlin.time.Duration

/** Moving average of the time between uses of a member by this VM. */
internal class UseInterval {
    private val intervals = DurationAverage(WEIGHT, initial = Duration.ZERO)
    private var lastUse: Duration? = null

    /** The average; zero until the member was used twice. */
    val average: Duration get() = intervals.value

    /** Records a use at [now]. */
    fun record(now: Duration) {
        lastUse?.let { intervals.add(now - it) }
        lastUse = now
    }

    private companion object {
        /** Weight of the latest interval. */
        const val WEIGHT = 1.0 / 16
    }
}
