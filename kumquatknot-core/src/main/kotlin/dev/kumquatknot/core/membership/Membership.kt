package dev.kumquatknot.core.membership

import dev.kumquatknot.core.identity.MemberName
import dev.kumquatknot.core.identity.VmName
import dev.kumquatknot.core.platform.ListedVm
import dev.kumquatknot.core.platform.VmState
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * The membership view of one node: the state of all VMs, combined from the platform's delayed list, from gossip of
 * other nodes and from its own probes. Immutable; each update returns a [MembershipChange].
 *
 * @property self record of this node's own VM; only this node raises its incarnation.
 * @property leavingMembers backend servers that the platform lists as leaving.
 */
public class Membership private constructor(
    public val self: VmRecord,
    private val others: Map<VmName, TrackedVm>,
    public val leavingMembers: Set<MemberName>,
) {
    public constructor(self: VmRecord) : this(self, emptyMap(), emptySet())

    /** Records of all known VMs by name, including this one. */
    public val records: Map<VmName, VmRecord> by lazy {
        others.mapValues { it.value.record } + (self.name to self)
    }

    /** VMs that may receive new work, including this one unless it is leaving, sorted by name. */
    public val usable: List<VmRecord> by lazy { records.values.filter { it.takesNewWork }.sortedBy { it.name } }

    /** Returns the record of [vm], or null if it is unknown. */
    public fun record(vm: VmName): VmRecord? = if (vm == self.name) self else others[vm]?.record

    /** Merges [records] that were received from another node at [now]. */
    public fun merged(records: List<VmRecord>, now: Duration): MembershipChange =
        records.fold(MembershipChange(this, emptyList())) { change, record ->
            change.then { it.mergedRecord(record, now) }
        }

    /**
     * Merges the platform's list, read at [now]. Names in [memberNames] are backend servers, all others VMs of the
     * proxy. The list can add VMs and mark them as leaving, but never revives one, because it is delayed.
     */
    public fun listed(list: List<ListedVm>, memberNames: Set<MemberName>, now: Duration): MembershipChange {
        val (servers, vms) = list.partition { MemberName(it.name.value) in memberNames }
        val leaving = servers.filter { it.state == VmState.LEAVING }.map { MemberName(it.name.value) }.toSet()
        val base = Membership(self, others, leaving)
        val records = vms.map { it.toRecord(record(it.name)?.incarnation ?: FIRST_INCARNATION) }
        return base.merged(records, now)
    }

    /** Records that [vm] responded neither to a direct nor to an indirect probe at [now]. */
    public fun withFailedProbe(vm: VmName, now: Duration): MembershipChange {
        val known = others[vm]?.record ?: return unchanged()
        return when (known.condition) {
            VmCondition.LIVE -> mergedRecord(known.copy(condition = VmCondition.SUSPECTED), now)
            VmCondition.LEAVING -> mergedRecord(known.copy(condition = VmCondition.FAILED), now)
            VmCondition.SUSPECTED, VmCondition.FAILED -> unchanged()
        }
    }

    /** Marks the VMs as failed whose suspicion has timed out, and removes those that failed long ago. */
    public fun withTimeoutsApplied(now: Duration): MembershipChange {
        val kept = others.filterValues {
            it.record.condition != VmCondition.FAILED || now - it.since < FAILED_VM_RETENTION
        }
        val overdue = kept.values.filter {
            it.record.condition == VmCondition.SUSPECTED && now - it.since >= SUSPICION_TIMEOUT
        }
        val base = if (kept.size == others.size) this else Membership(self, kept, leavingMembers)
        return base.merged(overdue.map { it.record.copy(condition = VmCondition.FAILED) }, now)
    }

    /** Marks this node's own VM as leaving. */
    public fun leave(): MembershipChange {
        val record = self.copy(condition = VmCondition.LEAVING)
        return MembershipChange(Membership(record, others, leavingMembers), listOf(record))
    }

    private fun mergedRecord(record: VmRecord, now: Duration): MembershipChange {
        if (record.name == self.name) return mergedSelf(record)
        val known = others[record.name]
        if (known != null && !record.overrides(known.record)) return unchanged()
        val next = Membership(self, others + (record.name to TrackedVm(record, now)), leavingMembers)
        return MembershipChange(next, listOf(record))
    }

    private fun mergedSelf(record: VmRecord): MembershipChange {
        if (!record.overrides(self)) return unchanged()
        val condition = if (record.condition == VmCondition.LEAVING) VmCondition.LEAVING else self.condition
        val answer = self.copy(incarnation = record.incarnation + 1, condition = condition)
        return MembershipChange(Membership(answer, others, leavingMembers), listOf(answer))
    }

    private fun unchanged() = MembershipChange(this, emptyList())

    private fun ListedVm.toRecord(incarnation: Long): VmRecord {
        val condition = if (state == VmState.LEAVING) VmCondition.LEAVING else VmCondition.LIVE
        return VmRecord(name, dataCentre, address, incarnation, condition)
    }

    private data class TrackedVm(val record: VmRecord, val since: Duration)

    public companion object {
        /** Incarnation of a VM that has not sent a record of its own yet. */
        public const val FIRST_INCARNATION: Long = 0

        /** Time within which a suspected VM can refute the suspicion. */
        public val SUSPICION_TIMEOUT: Duration = 2.seconds

        /** Time for which the record of a failed VM is kept, so that a late message cannot revive it. */
        public val FAILED_VM_RETENTION: Duration = 10.minutes
    }
}

/**
 * The [membership] after an update.
 *
 * @property changedRecords records that changed and must be sent to other nodes.
 */
public data class MembershipChange(val membership: Membership, val changedRecords: List<VmRecord>) {
    /** Applies [next] to the membership and combines the changed records of both. */
    public fun then(next: (Membership) -> MembershipChange): MembershipChange {
        val following = next(membership)
        return MembershipChange(following.membership, changedRecords + following.changedRecords)
    }
}
