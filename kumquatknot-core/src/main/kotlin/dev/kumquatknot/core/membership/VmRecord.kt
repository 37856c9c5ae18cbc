package dev.kumquatknot.core.membership

import dev.kumquatknot.core.identity.DataCentre
import dev.kumquatknot.core.identity.VmName

/** Condition of a VM as nodes pass it on. At the same incarnation a later constant overrides an earlier one. */
public enum class VmCondition {
    /** Serves and may take new work. */
    LIVE,

    /** Answered neither a probe nor an indirect one; it has a while to refute this. */
    SUSPECTED,

    /** Finishes what is in flight and takes no new work. */
    LEAVING,

    /** Did not refute the suspicion, or has gone. */
    FAILED,
}

/**
 * What nodes tell each other about a VM.
 *
 * @property address host and port at which the node serves other nodes.
 * @property incarnation raised only by the VM itself, to refute what others say of it.
 */
public data class VmRecord(
    val name: VmName,
    val dataCentre: DataCentre,
    val address: String,
    val incarnation: Long,
    val condition: VmCondition,
) {
    /** Tells whether this record is newer than [other] of the same VM. */
    public fun overrides(other: VmRecord): Boolean =
        incarnation > other.incarnation || (incarnation == other.incarnation && condition > other.condition)

    /** Tells whether new work may go to the VM. */
    public val takesNewWork: Boolean get() = condition == VmCondition.LIVE || condition == VmCondition.SUSPECTED
}
