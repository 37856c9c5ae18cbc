package dev.kumquatknot.proxy.node

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Number of connections of a member that a VM may hold. VMs that disagree about the gateway stay within the member's
 * limit in all: a gateway leaves room for control connections and fallback gateways, a new gateway also for the
 * connections that the previous one still holds.
 */
internal object ConnectionShare {
    /** Time within which the previous gateway closes the connections that it no longer needs. */
    val HANDOVER_TIME: Duration = 5.seconds

    private const val RESERVED_CONNECTIONS = 6
    private const val FALLBACK_SHARE = 2

    /** Returns the share of a member with [connections] in all; [ownedFor] is null for a VM that is not the gateway. */
    fun of(connections: Int, ownedFor: Duration?): Int {
        val full = (connections - RESERVED_CONNECTIONS).coerceAtLeast(1)
        return when {
            ownedFor == null -> minOf(FALLBACK_SHARE, full)
            ownedFor < HANDOVER_TIME -> (full / 2).coerceAtLeast(1)
            else -> full
        }
    }
}
