package dev.kumquatknot.core.databasegroup

import dev.kumquatknot.core.history.HistoryPoint
import dev.kumquatknot.core.history.LogPosition
import dev.kumquatknot.core.history.Term
import dev.kumquatknot.core.identity.MemberName
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class FailoverDecisionSpec {
    private val decision = FailoverDecision()
    private val now = 60.seconds
    private val primary = MemberName("primary")

    private fun healthy(name: String, received: Long = 10, leaving: Boolean = false) = ObservedMember(
        name = MemberName(name),
        leaving = leaving,
        answeredAt = now - 100.milliseconds,
        failingSince = null,
        failures = 0,
        refusing = false,
        received = HistoryPoint(Term(1), LogPosition(received)),
        report = report(received, now - 100.milliseconds),
    )

    private fun report(received: Long, at: Duration) =
        ReceivedReport(HistoryPoint(Term(1), LogPosition(received)), requestedAt = at, answeredAt = at)

    private fun failing(name: String, since: Duration, refusing: Boolean = false, failures: Int = 3) =
        healthy(name).copy(failingSince = now - since, failures = failures, refusing = refusing)

    private fun decide(vararg members: ObservedMember, stalledFor: Duration? = null, at: Duration = now) =
        decision.decide(members.toList(), primary, true, at, stalledFor?.let { at - it })

    @Nested
    inner class `no order is given` {
        @Test
        fun `while the primary answers`() {
            expectThat(decide(healthy("primary"), healthy("b"), healthy("c"))).isNull()
        }

        @Test
        fun `after a single failure, however long ago the last answer was`() {
            expectThat(decide(failing("primary", 5.seconds, failures = 1), healthy("b"))).isNull()
        }

        @Test
        fun `while no replica answers either, as for a VM that is isolated itself`() {
            expectThat(decide(failing("primary", 5.seconds), failing("b", 5.seconds), failing("c", 5.seconds))).isNull()
        }

        @Test
        fun `while a replica may still report a longer log`() {
            val silent = healthy("c").copy(report = report(10, now - 5.seconds))
            expectThat(decide(failing("primary", 5.seconds), healthy("b"), silent)).isNull()
        }

        @Test
        fun `on a report that may lack what another replica has confirmed since`() {
            val outdated = healthy("b").copy(report = report(10, now - 400.milliseconds))
            expectThat(decide(failing("primary", 5.seconds), outdated)).isNull()
        }

        @Test
        fun `while replicas are only slow to receive`() {
            val members = arrayOf(healthy("primary"), healthy("b"), healthy("c"))
            expectThat(decide(*members, stalledFor = 1_200.milliseconds)).isNull()
        }

        @Test
        fun `for a stalled replication to a single replica, which may lack commits that another one confirmed`() {
            val lost = failing("c", 5.seconds)
            expectThat(decide(healthy("primary"), healthy("b"), lost, stalledFor = 2.seconds)).isNull()
        }

        @Test
        fun `for a stalled replication again within ten seconds, as another primary has not helped`() {
            val members = arrayOf(healthy("primary"), healthy("b"), healthy("c"))
            expectThat(decide(*members, stalledFor = 2.seconds)).isNotNull()
            expectThat(decide(*members, stalledFor = 6.seconds)).isNull()
        }

        @Test
        fun `while an earlier order may still take effect`() {
            decision.recordOrder(MemberName("b"), now - 1.seconds)
            expectThat(decide(failing("primary", 5.seconds), healthy("b"), healthy("c"))).isNull()
        }
    }

    @Nested
    inner class `an order` {
        @Test
        fun `names the replica with the longest received log`() {
            val order = decide(failing("primary", 2.seconds), healthy("b", received = 11), healthy("c", received = 12))
            expectThat(order).isNotNull().get { candidate }.isEqualTo(MemberName("c"))
        }

        @Test
        fun `does not wait for ever for a replica that answers but reports nothing, as its slots are in use`() {
            val busy = healthy("c").copy(report = report(10, now - 5.seconds))
            decide(failing("primary", 2.seconds), healthy("b"), busy)
            val later = now + 800.milliseconds
            val fresh = healthy("b").copy(report = report(10, later))
            val order = decide(failing("primary", 2.seconds), fresh, busy, at = later)
            expectThat(order).isNotNull().get { candidate }.isEqualTo(MemberName("b"))
        }

        @Test
        fun `skips a replica that is leaving`() {
            val leaving = healthy("c", received = 12, leaving = true)
            val order = decide(failing("primary", 2.seconds), healthy("b", received = 11), leaving)
            expectThat(order).isNotNull().get { candidate }.isEqualTo(MemberName("b"))
        }

        @Test
        fun `comes sooner if the primary's address refuses connections`() {
            val order = decide(failing("primary", 500.milliseconds, refusing = true), healthy("b"))
            expectThat(order).isNotNull().get { reason }.isEqualTo(FailoverReason.PRIMARY_REFUSING)
        }

        @Test
        fun `replaces a primary that is leaving`() {
            val order = decide(healthy("primary", leaving = true), healthy("b"))
            expectThat(order).isNotNull().get { reason }.isEqualTo(FailoverReason.PRIMARY_LEAVING)
        }

        @Test
        fun `replaces a primary whose commits no replica receives`() {
            val order = decide(healthy("primary"), healthy("b"), healthy("c"), stalledFor = 2.seconds)
            expectThat(order).isNotNull().get { reason }.isEqualTo(FailoverReason.REPLICATION_STALLED)
        }

        @Test
        fun `is repeated if the first one had no effect`() {
            decision.recordOrder(MemberName("b"), now - 4.seconds)
            expectThat(decide(failing("primary", 5.seconds), healthy("b"))).isNotNull()
        }

        @Test
        fun `is given after some time without a primary`() {
            val members = listOf(healthy("b"), healthy("c"))
            expectThat(decision.decide(members, null, false, now - 3.seconds)).isNull()
            expectThat(decision.decide(members, null, false, now)).isNotNull()
                .get { reason }.isEqualTo(FailoverReason.NO_PRIMARY)
        }
    }
}
