package dev.kumquatknot.proxy.forwarding

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Decides when this VM may try again to open a link to a VM; the delay doubles with each failure in a row. */
internal class ReconnectDelay {
    private var failures = 0
    private var nextAt = -Duration.INFINITE

    /** Whether a link may be opened at [now]. */
    fun mayConnect(now: Duration): Boolean = now >= nextAt

    /** Records at [now] that the VM refused or did not answer. */
    fun recordFailure(now: Duration) {
        val delay = SHORTEST * (1 shl failures.coerceAtMost(MAXIMUM_DOUBLINGS))
        nextAt = now + delay.coerceAtMost(LONGEST)
        failures++
    }

    private companion object {
        /** A restarted VM listens again within a second. */
        val SHORTEST = 250.milliseconds
        val LONGEST = 4.seconds
        const val MAXIMUM_DOUBLINGS = 4
    }
}
