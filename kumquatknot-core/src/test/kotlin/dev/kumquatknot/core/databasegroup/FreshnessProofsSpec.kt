package dev.kumquatknot.core.databasegroup

import dev.kumquatknot.core.history.HistoryPoint
import dev.kumquatknot.core.history.LogPosition
import dev.kumquatknot.core.history.Term
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import kotlin.time.Duration.Companion.milliseconds

class FreshnessProofsSpec {
    private val proofs = FreshnessProofs()

    private fun point(number: Long, term: Long = 1) = HistoryPoint(Term(term), LogPosition(number))

    @Nested
    inner class `the required point` {
        @Test
        fun `is the lowest one that was proved within the allowed age`() {
            proofs.record(point(1), 0.milliseconds)
            proofs.record(point(5), 500.milliseconds)
            proofs.record(point(9), 1_000.milliseconds)
            expectThat(proofs.required(1_200.milliseconds, 800.milliseconds)).isEqualTo(point(5))
        }

        @Test
        fun `is unknown where every proof is too old`() {
            proofs.record(point(1), 0.milliseconds)
            expectThat(proofs.required(1_000.milliseconds, 900.milliseconds)).isNull()
        }

        @Test
        fun `counts the age from before the question, not from its answer`() {
            proofs.record(point(3), 100.milliseconds)
            expectThat(proofs.required(700.milliseconds, 599.milliseconds)).isNull()
        }

        @Test
        fun `is not lowered by an answer that overtook a newer one`() {
            proofs.record(point(7), 400.milliseconds)
            proofs.record(point(6), 300.milliseconds)
            expectThat(proofs.latest).isEqualTo(point(7))
        }

        @Test
        fun `is unknown after the proofs were forgotten`() {
            proofs.record(point(3), 100.milliseconds)
            proofs.forget()
            expectThat(proofs.required(100.milliseconds, 500.milliseconds)).isNull()
        }
    }

    @Nested
    inner class `a change of primary` {
        @Test
        fun `no longer asks replicas for what was rolled back`() {
            proofs.record(point(133), 1_000.milliseconds)
            proofs.recordPrimaryChange(point(38), 2_000.milliseconds)
            expectThat(proofs.required(2_100.milliseconds, 1_500.milliseconds)).isEqualTo(point(38))
        }

        @Test
        fun `keeps the ages of points that the new primary has`() {
            proofs.record(point(30), 1_000.milliseconds)
            proofs.recordPrimaryChange(point(38), 2_000.milliseconds)
            expectThat(proofs.required(2_100.milliseconds, 1_500.milliseconds)).isEqualTo(point(30))
        }
    }
}
