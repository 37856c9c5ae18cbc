package dev.kumquatknot.proxy.pool

import kotlin.math.roundToInt

/** How a VM takes part in the use of a member. */
internal enum class PoolRole {
    /** All VMs use the member alike. */
    SHARED,

    /** The VM runs the operations that other VMs forward to it. */
    HOME,

    /** Another VM is the home VM; this one runs only what it cannot forward. */
    GUEST,
}

/** Share of a member's slots and connections that a VM may use in a role. */
internal class MemberShare(private val limits: InteractiveLimits) {
    /** Returns how many of the [slots] of a member a VM in [role] fills. */
    fun slots(role: PoolRole, slots: Int): Int = when (role) {
        PoolRole.SHARED -> (slots * limits.slotShare).roundToInt()
        PoolRole.HOME -> slots
        PoolRole.GUEST -> slots / GUEST_SLOT_DIVISOR
    }.coerceAtLeast(1)

    /** Returns how many of at most [maximum] connections to a member a VM in [role] holds. */
    fun connections(role: PoolRole, maximum: Int): Int {
        val share = if (role == PoolRole.HOME) HOME_CONNECTION_SHARE else limits.connectionShare
        return (maximum * share).toInt().coerceAtLeast(1)
    }

    private companion object {
        /** The rest serves guests, and a second home VM while the views of the fleet differ. */
        const val HOME_CONNECTION_SHARE = 0.6

        const val GUEST_SLOT_DIVISOR = 3
    }
}
