package dev.kumquatknot.core.databasegroup

import dev.kumquatknot.core.history.HistoryPoint
import dev.kumquatknot.core.history.LogPosition
import dev.kumquatknot.core.history.Term
import dev.kumquatknot.core.identity.MemberName
import dev.kumquatknot.core.time.SystemClock
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes

class ConfirmationLedgerSpec {
    private val ledger = ConfirmationTracker(majority = 2, clock = SystemClock)
    private val primary = MemberName("a")
    private val replica = MemberName("b")
    private val other = MemberName("c")

    private fun point(term: Long, position: Long) = HistoryPoint(Term(term), LogPosition(position))

    private fun confirmation(term: Long, position: Long) = ledger.confirmation(point(term, position), primary)

    @Nested
    inner class `a write that a replica holds` {
        @Test
        fun `is confirmed together with all before it`() {
            ledger.observe(replica, point(3, 10), Term(3))
            expectThat(confirmation(3, 10)).isEqualTo(Confirmation.CONFIRMED)
            expectThat(confirmation(3, 4)).isEqualTo(Confirmation.CONFIRMED)
            expectThat(confirmation(3, 11)).isNull()
        }

        @Test
        fun `stays confirmed after the replica has left the term`() {
            ledger.observe(replica, point(3, 10), Term(3))
            ledger.observe(replica, point(3, 10), Term(4))
            expectThat(confirmation(3, 10)).isEqualTo(Confirmation.CONFIRMED)
        }
    }

    @Nested
    inner class `a write stays open` {
        @Test
        fun `while only its primary holds it, in whatever role it reports`() {
            ledger.observe(primary, point(3, 10), Term(3))
            expectThat(confirmation(3, 10)).isNull()
        }

        @Test
        fun `when a replica that holds as much has accepted a later term`() {
            ledger.observe(replica, point(3, 10), Term(4))
            expectThat(confirmation(3, 10)).isNull()
        }

        @Test
        fun `when a replica holds as many entries of an earlier term`() {
            ledger.observe(replica, point(2, 99), Term(3))
            expectThat(confirmation(3, 10)).isNull()
        }
    }

    @Nested
    inner class `waiting` {
        @Test
        fun `ends once a majority has left the term`() {
            ledger.observe(replica, point(2, 9), Term(4))
            expectThat(confirmation(3, 10)).isNull()
            ledger.observe(other, point(2, 9), Term(5))
            expectThat(confirmation(3, 10)).isEqualTo(Confirmation.SUPERSEDED)
        }

        @Test
        fun `ends at the deadline`() {
            val result = ledger.await(point(3, 10), primary, deadline = Duration.ZERO)
            expectThat(result).isEqualTo(Confirmation.DEADLINE)
        }

        @Test
        fun `ends with the confirmation, and asks for reports when it begins`() {
            val asked = CompletableFuture<Unit>()
            val waited = ConfirmationTracker(2, SystemClock, onWaiting = { asked.complete(Unit) })
            val deadline = SystemClock.elapsed() + 1.minutes
            val result = CompletableFuture.supplyAsync { waited.await(point(3, 10), primary, deadline) }
            asked.get(1, TimeUnit.MINUTES)
            waited.observe(replica, point(3, 10), Term(3))
            expectThat(result.get(1, TimeUnit.MINUTES)).isEqualTo(Confirmation.CONFIRMED)
        }
    }
}
