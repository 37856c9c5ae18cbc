package dev.kumquatknot.core.membership

import dev.kumquatknot.core.identity.MemberName
import dev.kumquatknot.core.identity.VmName
import dev.kumquatknot.core.platform.ListedVm
import dev.kumquatknot.core.platform.VmState
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * The view that one node has of all VMs, combined from the platform's lagging list, from what other nodes pass on and
 * from its own probes. Immutable; each fact gives a [MembershipChange].
 *
 * @property self the record of this node's own VM; nobody else raises its incarnation.
 * @property leavingMembers backend servers that the platform's list names as leaving.
 */
public class Membership private constructor(
    public val self: VmRecord,
    private val others: Map<VmName, TrackedVm>,
    public val leavingMembers: Set<MemberName>,
) {
    public constructor(self: VmRecord) : this(self, emptyMap(), emptySet())

    /** Records of all known VMs, this one included, by name. */
    public val records: Map<VmName, VmRecord> by lazy {
        others.mapValues { it.value.record } + (self.name to self)
    }

    /** VMs to which new work may go, this one included while it is not leaving. */
    public val usable: List<VmRecord> by lazy { records.values.filter { it.takesNewWork }.sortedBy { it.name } }

    /** Returns the record of [vm], or null where it is not known. */
    public fun record(vm: VmName): VmRecord? = if (vm == self.name) self else others[vm]?.record

    /** Takes in [records] that another node passed on at [now]. */
    public fun merged(records: List<VmRecord>, now: Duration): MembershipChange =
        records.fold(MembershipChange(this, emptyList())) { change, record ->
            change.then { it.mergedOne(record, now) }
        }

    /**
     * Takes in the platform's list, read at [now]. Names in [memberNames] are backend servers, all others VMs of the
     * proxy. The list adds VMs and marks them as leaving; it never revives one, because it lags.
     */
    public fun listed(list: List<ListedVm>, memberNames: Set<MemberName>, now: Duration): MembershipChange {
        val (servers, vms) = list.partition { MemberName(it.name.value) in memberNames }
        val leaving = servers.filter { it.state == VmState.LEAVING }.map { MemberName(it.name.value) }.toSet()
        val base = Membership(self, others, leaving)
        val records = vms.map { it.toRecord(record(it.name)?.incarnation ?: FIRST_INCARNATION) }
        return base.merged(records, now)
    }

    /** Takes in that [vm] answered neither a probe nor an indirect one, at [now]. */
    public fun withFailedProbe(vm: VmName, now: Duration): MembershipChange {
        val known = others[vm]?.record ?: return unchanged()
        return when (known.condition) {
            VmCondition.LIVE -> mergedOne(known.copy(condition = VmCondition.SUSPECTED), now)
            VmCondition.LEAVING -> mergedOne(known.copy(condition = VmCondition.FAILED), now)
            VmCondition.SUSPECTED, VmCondition.FAILED -> unchanged()
        }
    }

    /** Fails the VMs that have been suspected for too long, and forgets those that failed long ago. */
    public fun withTimeoutsApplied(now: Duration): MembershipChange {
        val kept = others.filterValues { it.record.condition != VmCondition.FAILED || now - it.since < FORGET_AFTER }
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

    private fun mergedOne(record: VmRecord, now: Duration): MembershipChange {
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
        /** Incarnation of a VM that has not spoken for itself yet. */
        public const val FIRST_INCARNATION: Long = 0

        /** Time that a suspected VM has to refute the suspicion. */
        public val SUSPICION_TIMEOUT: Duration = 2.seconds

        /** Time for which a failed VM is remembered, so that late news cannot revive it. */
        public val FORGET_AFTER: Duration = 10.minutes
    }
}

/**
 * The [membership] after a fact.
 *
 * @property changedRecords the records that changed and are to be passed on.
 */
public data class MembershipChange(val membership: Membership, val changedRecords: List<VmRecord>) {
    /** Applies [next] to the membership and gathers the news of both. */
    public fun then(next: (Membership) -> MembershipChange): MembershipChange {
        val following = next(membership)
        return MembershipChange(following.membership, changedRecords + following.changedRecords)
    }
}
