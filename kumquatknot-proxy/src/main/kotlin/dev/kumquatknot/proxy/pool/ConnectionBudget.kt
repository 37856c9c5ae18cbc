package dev.kumquatknot.proxy.pool

import kotlin.math.ln
import kotlin.time.Duration

/**
 * Connections of one member.
 *
 * @property maximum number of connections that the member accepts from all VMs together.
 * @property vms number of VMs that share them; 0 if it is unknown.
 */
internal data class ConnectionBudget(val maximum: Int, val vms: Int) {
    /** Whether the member has too few connections for each VM to keep one for good. */
    val isShort: Boolean get() = vms > keepable

    private val keepable: Double get() = maximum * KEEPING_SHARE

    /**
     * Returns how long a VM that uses the member every [interval] on average keeps an idle connection of a short
     * budget, such that idle connections take [KEEPING_SHARE] of the budget while all VMs are used alike.
     *
     * Answers the load of more VMs than connections, each of which needs the member now and then: a connection that is
     * closed too soon costs a handshake in one of the member's slots, one that is kept too long keeps others waiting.
     */
    fun keepTime(interval: Duration): Duration {
        if (!isShort) return Duration.INFINITE
        // With Poisson arrivals, a VM holds a connection kept for t during 1 - exp(-t / interval) of the time.
        return interval * -ln(1 - keepable / vms)
    }

    private companion object {
        /** Share of the connections that idle ones may take; the others serve VMs that need several at a time. */
        const val KEEPING_SHARE = 0.7
    }
}
