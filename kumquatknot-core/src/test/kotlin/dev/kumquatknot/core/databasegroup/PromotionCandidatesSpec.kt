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

class PromotionCandidatesSpec {
    private val decision = FailoverDecision()
    private val now = 60.seconds
    private val primary = MemberName("primary")

    private fun point(position: Long) = HistoryPoint(Term(1), LogPosition(position))

    private fun member(name: String, received: Long, leaving: Boolean = false) = ObservedMember(
        name = MemberName(name),
        leaving = leaving,
        answeredAt = now,
        failingSince = null,
        failures = 0,
        refusing = false,
        received = point(received),
        report = ReceivedReport(point(received), requestedAt = now, answeredAt = now),
    )

    /** Answers, but has no slot for a report. */
    private fun busy(name: String, received: Long) = member(name, received).copy(report = null)

    private fun ObservedMember.failing(since: Duration = 5.seconds, refusing: Boolean = true) =
        copy(failingSince = now - since, failures = 3, refusing = refusing, report = null)

    private fun decide(
        vararg members: ObservedMember,
        replicated: Long? = null,
        replicas: Int = 1,
        at: Duration = now,
    ) = decision.decide(
        members.toList(),
        primary,
        true,
        at,
        replication = ObservedReplication(replicas, replicated?.let(::point)),
    )

    private val lost = member("primary", received = 90).failing()

    @Nested
    inner class `with a synchronous replica, the member to promote` {
        /** The deaf one was once promoted 800 ms later, as the only one that reports. */
        @Test
        fun `is the one that answers without a report, if a deaf one reports less`() {
            val order = decide(lost, member("deaf", received = 10), busy("other", received = 80))
            expectThat(order).isNotNull().get { candidate }.isEqualTo(MemberName("other"))
        }

        @Test
        fun `is unknown while the one that answers without a report may have received more`() {
            val members = arrayOf(lost, member("b", received = 81), busy("other", received = 80))
            expectThat(decide(*members)).isNull()
            expectThat(decide(*members, at = now + 30.seconds)).isNull()
            expectThat(decision.unmetReason).isEqualTo(FailoverReason.PRIMARY_REFUSING)
        }

        @Test
        fun `is unknown while a replica is silent`() {
            expectThat(decide(lost, member("b", received = 90), member("c", received = 10).failing())).isNull()
        }

        @Test
        fun `does not follow from a report that was asked for before the primary was lost`() {
            val report = ReceivedReport(point(10), requestedAt = now - 100.milliseconds, answeredAt = now)
            val outdated = member("b", received = 10).copy(report = report)
            expectThat(decide(lost, outdated, busy("c", received = 80))).isNull()
        }

        @Test
        fun `is the one with the longest log if all have reported`() {
            val order = decide(lost, member("b", received = 81), member("c", received = 80))
            expectThat(order).isNotNull().get { candidate }.isEqualTo(MemberName("b"))
        }

        /** A new primary whose commits waited once counted as lost, and the deaf replica was promoted. */
        @Test
        fun `is none that lacks what another one has received, while that one may come back`() {
            val deaf = member("deaf", received = 10)
            val former = member("former", received = 80).failing()
            expectThat(decide(lost, deaf, former)).isNull()
            expectThat(decide(lost, deaf, replicated = 80)).isNull()
        }

        @Test
        fun `is the last one that is left`() {
            val last = member("deaf", received = 10)
            expectThat(decide(last, replicated = 80)).isNull()
            val order = decide(last, replicated = 80, at = now + 3.seconds)
            expectThat(order).isNotNull().get { candidate }.isEqualTo(MemberName("deaf"))
        }

        @Test
        fun `is a leaving one only if the others lack what it has`() {
            val leaving = member("leaving", received = 80, leaving = true)
            expectThat(decide(lost, leaving, member("b", received = 80))).isNotNull()
                .get { candidate }.isEqualTo(MemberName("b"))
            decision.clearOrder()
            expectThat(decide(lost, leaving, member("b", received = 10))).isNotNull()
                .get { candidate }.isEqualTo(MemberName("leaving"))
        }

        @Test
        fun `replaces a leaving primary once it has received what that one reported`() {
            val leaving = member("primary", received = 90, leaving = true)
            val deaf = member("deaf", received = 10)
            expectThat(decide(leaving, deaf, busy("other", received = 89))).isNull()
            val order = decide(leaving, deaf, busy("other", received = 90))
            expectThat(order).isNotNull().get { candidate }.isEqualTo(MemberName("other"))
        }
    }

    @Nested
    inner class `without synchronous replicas, the member to promote` {
        @Test
        fun `is the one that is known to have received most, also if it answers without a report`() {
            val members = arrayOf(lost, member("deaf", received = 10), busy("other", received = 80))
            expectThat(decide(*members, replicas = 0)).isNull()
            val report = ReceivedReport(point(10), now + 1.seconds, now + 1.seconds)
            val later = members.map { if (it.name == MemberName("deaf")) it.copy(report = report) else it }
            val order = decide(*later.toTypedArray(), replicas = 0, at = now + 1.seconds)
            expectThat(order).isNotNull().get { candidate }.isEqualTo(MemberName("other"))
        }
    }

    @Nested
    inner class `a silent primary that accepts connections` {
        private val silent = lost.copy(refusing = false, acceptedAt = now - 1.seconds)

        @Test
        fun `is not replaced while its commits wait for a replica`() {
            val former = member("former", received = 80).failing()
            expectThat(decide(silent, member("deaf", received = 10), former)).isNull()
            expectThat(decision.unmetReason).isNull()
        }

        @Test
        fun `is replaced if a replica follows it, so that no commit has to wait`() {
            val order = decide(silent, member("b", received = 90), member("c", received = 10))
            expectThat(order).isNotNull().get { candidate }.isEqualTo(MemberName("b"))
        }

        @Test
        fun `is replaced without synchronous replicas, as its commits never wait`() {
            expectThat(decide(silent, member("b", received = 10), member("c", received = 10), replicas = 0)).isNotNull()
        }
    }
}
