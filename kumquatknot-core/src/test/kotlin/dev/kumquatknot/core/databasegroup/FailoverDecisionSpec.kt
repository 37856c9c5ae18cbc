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
        reportedAt = now - 100.milliseconds,
    )

    private fun failing(name: String, since: Duration, refusing: Boolean = false, failures: Int = 3) =
        healthy(name).copy(failingSince = now - since, failures = failures, refusing = refusing)

    private fun decide(vararg members: ObservedMember) = decision.decide(members.toList(), primary, true, now)

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
        fun `while no replica answers, as for a VM that is cut off itself`() {
            expectThat(decide(failing("primary", 5.seconds), failing("b", 5.seconds), failing("c", 5.seconds))).isNull()
        }

        @Test
        fun `while a replica may still report a longer log`() {
            val silent = healthy("c").copy(reportedAt = now - 5.seconds)
            expectThat(decide(failing("primary", 5.seconds), healthy("b"), silent)).isNull()
        }

        @Test
        fun `while an earlier order may still take effect`() {
            decision.ordered(MemberName("b"), now - 1.seconds)
            expectThat(decide(failing("primary", 5.seconds), healthy("b"), healthy("c"))).isNull()
        }
    }

    @Nested
    inner class `an order` {
        @Test
        fun `names the replica that has received most`() {
            val order = decide(failing("primary", 2.seconds), healthy("b", received = 11), healthy("c", received = 12))
            expectThat(order).isNotNull().get { candidate }.isEqualTo(MemberName("c"))
        }

        @Test
        fun `passes over a replica that is leaving`() {
            val leaving = healthy("c", received = 12, leaving = true)
            val order = decide(failing("primary", 2.seconds), healthy("b", received = 11), leaving)
            expectThat(order).isNotNull().get { candidate }.isEqualTo(MemberName("b"))
        }

        @Test
        fun `comes sooner where the primary's address rejects connections`() {
            val order = decide(failing("primary", 500.milliseconds, refusing = true), healthy("b"))
            expectThat(order).isNotNull().get { reason }.isEqualTo(FailoverReason.PRIMARY_REFUSING)
        }

        @Test
        fun `replaces a primary that is leaving`() {
            val order = decide(healthy("primary", leaving = true), healthy("b"))
            expectThat(order).isNotNull().get { reason }.isEqualTo(FailoverReason.PRIMARY_LEAVING)
        }

        @Test
        fun `is given again where the first one had no effect`() {
            decision.ordered(MemberName("b"), now - 4.seconds)
            expectThat(decide(failing("primary", 5.seconds), healthy("b"))).isNotNull()
        }

        @Test
        fun `is given where nobody leads for some time`() {
            val members = listOf(healthy("b"), healthy("c"))
            expectThat(decision.decide(members, null, false, now - 3.seconds)).isNull()
            expectThat(decision.decide(members, null, false, now)).isNotNull()
                .get { reason }.isEqualTo(FailoverReason.NO_PRIMARY)
        }
    }
}
