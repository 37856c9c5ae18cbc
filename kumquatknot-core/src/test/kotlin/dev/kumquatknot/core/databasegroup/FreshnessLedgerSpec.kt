package dev.kumquatknot.core.databasegroup

import dev.kumquatknot.core.history.HistoryPoint
import dev.kumquatknot.core.history.LogPosition
import dev.kumquatknot.core.history.Term
import dev.kumquatknot.core.identity.MemberName
import dev.kumquatknot.core.member.MemberReport
import dev.kumquatknot.core.member.MemberRole
import dev.kumquatknot.core.time.SystemClock
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class FreshnessLedgerSpec {
    private val ledger = FreshnessTracker(majority = 2, clock = SystemClock)
    private val primary = MemberName("a")
    private val replica = MemberName("b")

    private fun point(term: Long, position: Long) = HistoryPoint(Term(term), LogPosition(position))

    private fun primaryReports(last: HistoryPoint, sentAt: Duration) =
        ledger.observe(MemberReport(primary, MemberRole.PRIMARY, last.term, last, null), sentAt)

    private fun replicaStands(term: Long, sentAt: Duration) = ledger.observeTerm(replica, Term(term), sentAt)

    @Nested
    inner class `an age` {
        @Test
        fun `is proved once a majority was asked at the same time or later`() {
            primaryReports(point(3, 10), 100.milliseconds)
            expectThat(ledger.provenAge(point(3, 10), 1.seconds)).isNull()
            replicaStands(3, 100.milliseconds)
            expectThat(ledger.provenAge(point(3, 10), 1.seconds)).isEqualTo(900.milliseconds)
        }

        @Test
        fun `is not proved by a majority that was asked earlier`() {
            primaryReports(point(3, 10), 100.milliseconds)
            replicaStands(3, 99.milliseconds)
            expectThat(ledger.provenAge(point(3, 10), 1.seconds)).isNull()
        }

        @Test
        fun `is not proved by a primary that the others have left`() {
            primaryReports(point(3, 10), 100.milliseconds)
            replicaStands(4, 200.milliseconds)
            expectThat(ledger.provenAge(point(3, 10), 1.seconds)).isNull()
        }

        @Test
        fun `counts from the latest position that the data has reached`() {
            primaryReports(point(3, 10), 100.milliseconds)
            primaryReports(point(3, 20), 300.milliseconds)
            replicaStands(3, 400.milliseconds)
            expectThat(ledger.provenAge(point(3, 19), 1.seconds)).isEqualTo(900.milliseconds)
            expectThat(ledger.provenAge(point(3, 20), 1.seconds)).isEqualTo(700.milliseconds)
            expectThat(ledger.provenAge(point(3, 9), 1.seconds)).isNull()
        }

        @Test
        fun `can still be proved for old data after many samples`() {
            (1..5_000).forEach {
                primaryReports(point(3, it.toLong()), it.milliseconds)
                replicaStands(3, it.milliseconds)
            }
            expectThat(ledger.provenAge(point(3, 4_000), 5.seconds)).isNotNull().isLessThanOrEqualTo(1_100.milliseconds)
        }
    }

    @Nested
    inner class `a primary stands` {
        @Test
        fun `when a majority was asked after the given time`() {
            primaryReports(point(3, 10), 100.milliseconds)
            replicaStands(3, 100.milliseconds)
            expectThat(ledger.standing(100.milliseconds)).isEqualTo(MajorityPrimary(Term(3), primary))
            expectThat(ledger.standing(101.milliseconds)).isNull()
        }

        @Test
        fun `no more when a majority was asked in vain until the deadline`() {
            expectThat(ledger.awaitStanding(Duration.ZERO, deadline = Duration.ZERO)).isNull()
        }
    }
}
