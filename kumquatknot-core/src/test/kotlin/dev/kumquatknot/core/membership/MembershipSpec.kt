package dev.kumquatknot.core.membership

import dev.kumquatknot.core.identity.DataCentre
import dev.kumquatknot.core.identity.MemberName
import dev.kumquatknot.core.identity.VmName
import dev.kumquatknot.core.platform.ListedVm
import dev.kumquatknot.core.platform.VmState
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

class MembershipSpec {
    private val self = vm("self")
    private val other = vm("other")

    private fun vm(name: String, incarnation: Long = 0, condition: VmCondition = VmCondition.LIVE) =
        VmRecord(VmName(name), DataCentre("mendoza-a"), "10.0.0.1:1", incarnation, condition)

    private fun listed(name: String, state: VmState = VmState.LIVE) =
        ListedVm(VmName(name), DataCentre("mendoza-a"), "10.0.0.1:1", state)

    private fun membershipWith(vararg records: VmRecord) =
        Membership(self).merged(records.toList(), Duration.ZERO).membership

    private fun Membership.condition(name: String) = record(VmName(name))?.condition

    @Nested
    inner class `records of other VMs` {
        @Test
        fun `go forward by incarnation and then by condition`() {
            val left = membershipWith(other, vm("other", 0, VmCondition.LEAVING), vm("other", 0, VmCondition.LIVE))
            expectThat(left.condition("other")).isEqualTo(VmCondition.LEAVING)
            val back = left.merged(listOf(vm("other", 1)), Duration.ZERO).membership
            expectThat(back.condition("other")).isEqualTo(VmCondition.LIVE)
        }

        @Test
        fun `are news only when they change`() {
            val change = membershipWith(other).merged(listOf(other), 1.seconds)
            expectThat(change.changedRecords).isEmpty()
        }
    }

    @Nested
    inner class `a silent VM` {
        @Test
        fun `is suspected, takes new work still, and fails after the suspicion timeout`() {
            val suspected = membershipWith(other).withFailedProbe(other.name, 1.seconds).membership
            expectThat(suspected.condition("other")).isEqualTo(VmCondition.SUSPECTED)
            expectThat(suspected.usable.map { it.name.value }).containsExactly("other", "self")
            val failed = suspected.withTimeoutsApplied(1.seconds + Membership.SUSPICION_TIMEOUT).membership
            expectThat(failed.condition("other")).isEqualTo(VmCondition.FAILED)
            expectThat(failed.usable.map { it.name.value }).containsExactly("self")
        }

        @Test
        fun `that was paused refutes the suspicion when it hears of it`() {
            val paused = Membership(other)
            val change = paused.merged(listOf(vm("other", 0, VmCondition.SUSPECTED)), 9.seconds)
            expectThat(change.changedRecords).containsExactly(vm("other", 1))
        }

        @Test
        fun `that was leaving has gone`() {
            val leaving = membershipWith(vm("other", 0, VmCondition.LEAVING))
            expectThat(leaving.withFailedProbe(other.name, 1.seconds).membership.condition("other"))
                .isEqualTo(VmCondition.FAILED)
        }

        @Test
        fun `is forgotten in the end`() {
            val failed = membershipWith(vm("other", 0, VmCondition.FAILED))
            expectThat(failed.withTimeoutsApplied(Membership.FORGET_AFTER).membership.record(other.name)).isNull()
        }
    }

    @Nested
    inner class `the platform's list` {
        @Test
        fun `adds VMs and marks leaving ones`() {
            val change = membershipWith(other).listed(
                listOf(listed("new"), listed("other", VmState.LEAVING)),
                emptySet(),
                Duration.ZERO,
            )
            expectThat(change.membership.condition("new")).isEqualTo(VmCondition.LIVE)
            expectThat(change.membership.condition("other")).isEqualTo(VmCondition.LEAVING)
        }

        @Test
        fun `never revives a VM that peers know to be leaving or failed`() {
            val membership = membershipWith(vm("a", 0, VmCondition.LEAVING), vm("b", 2, VmCondition.FAILED))
            val after = membership.listed(listOf(listed("a"), listed("b")), emptySet(), 1.seconds).membership
            expectThat(after.condition("a")).isEqualTo(VmCondition.LEAVING)
            expectThat(after.condition("b")).isEqualTo(VmCondition.FAILED)
        }

        @Test
        fun `names leaving backend servers, which are no VMs of the proxy`() {
            val server = MemberName("inventory-a")
            val after = Membership(self)
                .listed(listOf(listed("inventory-a", VmState.LEAVING)), setOf(server), Duration.ZERO).membership
            expectThat(after.leavingMembers).isEqualTo(setOf(server))
            expectThat(after.record(VmName("inventory-a"))).isNull()
        }
    }

    @Nested
    inner class `this VM` {
        @Test
        fun `takes no new work once it leaves, whatever others say`() {
            val left = Membership(self).leave().membership
            expectThat(left.usable).isEmpty()
            val refuted = left.merged(listOf(vm("self", 0, VmCondition.FAILED)), Duration.ZERO).membership
            expectThat(refuted.self.condition).isEqualTo(VmCondition.LEAVING)
            expectThat(refuted.self.incarnation).isEqualTo(1L)
        }
    }
}
