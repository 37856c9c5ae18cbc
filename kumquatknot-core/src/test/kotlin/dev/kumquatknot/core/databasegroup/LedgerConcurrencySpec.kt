package dev.kumquatknot.core.databasegroup

import dev.kumquatknot.core.history.HistoryPoint
import dev.kumquatknot.core.history.LogPosition
import dev.kumquatknot.core.history.Term
import dev.kumquatknot.core.identity.MemberName
import dev.kumquatknot.core.time.SystemClock
import org.jetbrains.lincheck.datastructures.Operation
import org.jetbrains.lincheck.datastructures.StressOptions
import org.junit.jupiter.api.Test
import kotlin.time.Duration.Companion.milliseconds

/** The shared tables behave under concurrent use as if their operations ran one after the other. */
class LedgerConcurrencySpec {
    class Confirmations {
        private val ledger = ConfirmationTracker(majority = 2, clock = SystemClock)

        @Operation
        fun observe(replica: Boolean, term: Int, position: Int) {
            val last = HistoryPoint(Term(term.toLong()), LogPosition(position.toLong()))
            ledger.observe(MemberName(if (replica) "b" else "c"), last, last.term)
        }

        @Operation
        fun confirmation(term: Int, position: Int): String {
            val point = HistoryPoint(Term(term.toLong()), LogPosition(position.toLong()))
            return ledger.confirmation(point, MemberName("a")).toString()
        }
    }

    class Freshness {
        private val ledger = FreshnessTracker(majority = 1, clock = SystemClock)

        @Operation
        fun observe(replica: Boolean, term: Int, sentAt: Int) =
            ledger.observeTerm(MemberName(if (replica) "b" else "c"), Term(term.toLong()), sentAt.milliseconds)

        @Operation
        fun standing(since: Int): String = ledger.standing(since.milliseconds).toString()
    }

    private fun options() = StressOptions()
        .iterations(ITERATIONS)
        .invocationsPerIteration(INVOCATIONS)
        .threads(THREADS)
        .actorsPerThread(ACTORS)

    @Test
    fun `confirmations are linearizable`() = options().check(Confirmations::class)

    @Test
    fun `standings are linearizable`() = options().check(Freshness::class)

    private companion object {
        const val ITERATIONS = 10
        const val INVOCATIONS = 200
        const val THREADS = 3
        const val ACTORS = 3
    }
}
