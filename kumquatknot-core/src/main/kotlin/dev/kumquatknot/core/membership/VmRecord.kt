package dev.kumquatknot.core.membership

import dev.kumquatknot.core.identity.DataCentre
import dev.kumquatknot.core.identity.VmName

/** Condition of a VM in gossip. At the same incarnation, a later constant overrides an earlier one. */
public enum class VmCondition {
    /** Responds and accepts new work. */
    LIVE,

    /** Responded neither to a direct nor to an indirect probe; can refute this until the suspicion times out. */
    SUSPECTED,

    /** Finishes the work in flight and accepts no new work. */
    LEAVING,

    /** Did not refute the suspicion in time, or stopped responding while leaving. */
    FAILED,
}

/**
 * State of a VM that nodes exchange by gossip.
 *
 * @property address host and port at which the node serves other nodes.
 * @property incarnation counter that only the VM itself raises, to refute records about it from others.
 */
public data class VmRecord(
    val name: VmName,
    val dataCentre: DataCentre,
    val address: String,
    val incarnation: Long,
    val condition: VmCondition,
) {
    /** Returns whether this record replaces [other] of the same VM. */
    public fun overrides(other: VmRecord): Boolean =
        incarnation > other.incarnation || (incarnation == other.incarnation && condition > other.condition)

    /** Whether the VM may receive new work. */
    public val takesNewWork: Boolean get() = condition == VmCondition.LIVE || condition == VmCondition.SUSPECTED
}
