package dev.kumquatknot.standin.history

import dev.kumquatknot.core.history.HistoryPoint
import dev.kumquatknot.core.history.LogPosition
import dev.kumquatknot.core.history.Term
import dev.kumquatknot.core.outcome.Effect
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.isEmpty
import kotlin.time.Duration.Companion.milliseconds

class HistoryCheckerSpec {
    private val kept = HistoryPoint(Term(2), LogPosition(4))
    private val discarded = HistoryPoint(Term(1), LogPosition(9))
    private val final = FinalState(mapOf("account" to 0L), emptyMap(), setOf(kept))
    private val completed = Ending(Effect.COMPLETED, point = kept)
    private val notRun = Ending(Effect.NOT_RUN)
    private val unknown = Ending(Effect.UNKNOWN)

    private fun operation(action: Action, ending: Ending, from: Int = 0, to: Int = from + 1) =
        Operation(1, 0, action, from.milliseconds, to.milliseconds, ending)

    private fun promisesBroken(final: FinalState, vararg operations: Operation) =
        HistoryChecker(History(operations.toList(), emptyMap(), final)).violations().map { it.promise }

    @Nested
    inner class `reads of own writes` {
        @Test
        fun `find the missing row`() {
            val read = operation(Action.ReadOwn(listOf("a", "b")), completed.copy(values = listOf(1, null)))
            expectThat(promisesBroken(final, read)).containsExactlyInAnyOrder(Promise.READ_YOUR_WRITES)
        }

        @Test
        fun `pass with all rows, and when refused`() {
            val read = operation(Action.ReadOwn(listOf("a")), completed.copy(values = listOf(1)))
            val refused = operation(Action.ReadOwn(listOf("a")), notRun)
            expectThat(promisesBroken(final, read, refused)).isEmpty()
        }
    }

    @Nested
    inner class `unkeyed writes` {
        private val book = Action.Book("b")

        @Test
        fun `find the acknowledged one that is lost`() {
            expectThat(promisesBroken(final, operation(book, completed)))
                .containsExactlyInAnyOrder(Promise.NO_LOST_WRITE)
        }

        @Test
        fun `find the one that ran after a refusal as not run`() {
            expectThat(promisesBroken(final.copy(rows = mapOf("b" to 1)), operation(book, notRun)))
                .containsExactlyInAnyOrder(Promise.NOT_RUN_IS_TRUE)
        }

        @Test
        fun `find the acknowledgement of a superseded primary`() {
            val acknowledged = operation(book, completed.copy(point = discarded))
            expectThat(promisesBroken(final.copy(rows = mapOf("b" to 1)), acknowledged))
                .containsExactlyInAnyOrder(Promise.NO_SUPERSEDED_ACKNOWLEDGEMENT)
        }

        @Test
        fun `pass either way when unknown`() {
            expectThat(promisesBroken(final, operation(book, unknown))).isEmpty()
            expectThat(promisesBroken(final.copy(rows = mapOf("b" to 1)), operation(book, unknown))).isEmpty()
        }
    }

    @Nested
    inner class `keyed work` {
        private val charge = Action.Charge("account", "k")

        private fun charged(count: Int) =
            final.copy(rows = mapOf("account" to count.toLong()), charges = mapOf("k" to count).filterValues { it > 0 })

        @Test
        fun `finds the second run`() {
            val attempts = arrayOf(operation(charge, unknown), operation(charge, completed))
            expectThat(promisesBroken(charged(2), *attempts)).containsExactlyInAnyOrder(Promise.AT_MOST_ONCE)
        }

        @Test
        fun `finds the acknowledged run that is lost`() {
            expectThat(promisesBroken(charged(0), operation(charge, completed)))
                .containsExactlyInAnyOrder(Promise.NO_LOST_WRITE)
        }

        @Test
        fun `finds the run after refusals as not run`() {
            expectThat(promisesBroken(charged(1), operation(charge, notRun)))
                .containsExactlyInAnyOrder(Promise.NOT_RUN_IS_TRUE)
        }

        @Test
        fun `finds the repetition with another answer`() {
            val first = operation(charge, completed.copy(values = listOf(1)))
            val second = operation(charge, completed.copy(values = listOf(2)))
            expectThat(promisesBroken(charged(1), first, second))
                .containsExactlyInAnyOrder(Promise.FIRST_ANSWER_AGAIN)
        }

        @Test
        fun `finds the run that was resolved as not run`() {
            val resolve = operation(Action.Resolve("k"), notRun, from = 5)
            expectThat(promisesBroken(charged(1), operation(charge, unknown), resolve))
                .containsExactlyInAnyOrder(Promise.RESOLVED_IS_TRUE)
        }

        @Test
        fun `finds the missing run that was resolved as completed`() {
            val resolve = operation(Action.Resolve("k"), completed, from = 5)
            expectThat(promisesBroken(charged(0), operation(charge, unknown), resolve))
                .containsExactlyInAnyOrder(Promise.RESOLVED_IS_TRUE)
        }

        @Test
        fun `finds half of its transaction`() {
            val half = charged(1).copy(rows = mapOf("account" to 0L))
            expectThat(promisesBroken(half, operation(charge, completed)))
                .containsExactlyInAnyOrder(Promise.TRANSACTIONS_ATOMIC)
        }
    }

    @Nested
    inner class `interactive transactions` {
        private val both = mapOf("p-left" to 1L, "p-right" to 1L)

        @Test
        fun `find one row without the other in the end`() {
            val commit = operation(Action.Pair("p"), unknown)
            expectThat(promisesBroken(final.copy(rows = both - "p-right"), commit))
                .containsExactlyInAnyOrder(Promise.TRANSACTIONS_ATOMIC)
        }

        @Test
        fun `find one row without the other in a read`() {
            val read = operation(Action.ReadPair("p"), completed.copy(values = listOf(1, null)))
            expectThat(promisesBroken(final, read)).containsExactlyInAnyOrder(Promise.TRANSACTIONS_ATOMIC)
        }

        @Test
        fun `find the commit that ran although it was told as not run when sent again`() {
            val attempts = arrayOf(operation(Action.Pair("p"), unknown), operation(Action.CommitAgain("p"), notRun))
            expectThat(promisesBroken(final.copy(rows = both), *attempts))
                .containsExactlyInAnyOrder(Promise.NOT_RUN_IS_TRUE)
        }

        @Test
        fun `find the acknowledged commit that is lost`() {
            expectThat(promisesBroken(final, operation(Action.Pair("p"), completed)))
                .containsExactlyInAnyOrder(Promise.NO_LOST_WRITE)
        }
    }

    @Nested
    inner class `reads with a stated age` {
        private val age = Action.ReadAged(100.milliseconds)
        private val tick = operation(Action.Tick(7), completed, from = 0, to = 10)

        @Test
        fun `find the answer that is older`() {
            val read = operation(age, completed.copy(values = listOf(6)), from = 111)
            expectThat(promisesBroken(final, tick, read)).containsExactlyInAnyOrder(Promise.STATED_AGE)
        }

        @Test
        fun `pass with an answer of just that age`() {
            val read = operation(age, completed.copy(values = listOf(6)), from = 110)
            expectThat(promisesBroken(final, tick, read)).isEmpty()
        }
    }

    @Nested
    inner class `configurations` {
        @Test
        fun `find the number that went back`() {
            val history = History(emptyList(), mapOf(0 to listOf(1L, 2L, 2L, 3L), 1 to listOf(1L, 3L, 2L)), final)
            expectThat(HistoryChecker(history).violations().map { it.promise })
                .containsExactlyInAnyOrder(Promise.CONFIGURATION_NEVER_REVERTS)
        }
    }
}
