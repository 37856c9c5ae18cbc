package dev.kumquatknot.standin.platform

import dev.kumquatknot.core.time.Clock

/** Token bucket that holds the calls of one second. */
internal class RateLimit(private val perSecond: Int, private val clock: Clock) {
    private var tokens = perSecond.toDouble()
    private var refilledAt = clock.elapsed()

    /** Takes one call out of the bucket, if there is one. */
    @Synchronized
    fun take(): Boolean {
        val now = clock.elapsed()
        tokens =
            minOf(perSecond.toDouble(), tokens + (now - refilledAt).inWholeNanoseconds * perSecond / NANOS_PER_SECOND)
        refilledAt = now
        if (tokens < 1) return false
        tokens--
        return true
    }

    private companion object {
        const val NANOS_PER_SECOND = 1e9
    }
}
