package dev.kumquatknot.proxy.node

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * How many connections of a member a VM may hold, so that VMs that disagree about the gateway stay within the
 * member's limit: a gateway leaves room for control connections and deputies, a new one also for the connections that
 * the last one still holds.
 */
internal object ConnectionShare {
    /** Time after which the last gateway has closed what it need not keep. */
    val HANDOVER: Duration = 5.seconds

    private const val RESERVE = 6
    private const val DEPUTY_SHARE = 2

    /** Returns the share of a member with [connections] in all; [ownedFor] is null for a VM that is not the gateway. */
    fun of(connections: Int, ownedFor: Duration?): Int {
        val full = (connections - RESERVE).coerceAtLeast(1)
        return when {
            ownedFor == null -> minOf(DEPUTY_SHARE, full)
            ownedFor < HANDOVER -> (full / 2).coerceAtLeast(1)
            else -> full
        }
    }
}
