package dev.kumquatknot.core.duty

import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class DutyLeaseSpec {
    private val lease = DutyLease("self", 3.seconds)

    private fun take(at: Duration = 0.seconds) {
        val step = lease.observe(null, at) as LeaseStep.Write
        lease.recordWrite(step.record, at)
    }

    @Nested
    inner class `a lease` {
        @Test
        fun `is taken where there is none`() {
            expectThat(lease.observe(null, 0.seconds)).isEqualTo(LeaseStep.Write(DutyRecord("self", 1, 0)))
        }

        @Test
        fun `of another holder is taken with a higher token once it stays unchanged`() {
            val record = DutyRecord("other", 7, 3)
            expectThat(lease.observe(record, 0.seconds)).isA<LeaseStep.Wait>()
            expectThat(lease.observe(record, 3.seconds)).isA<LeaseStep.Wait>()
            expectThat(lease.observe(record, 3_001.milliseconds)).isEqualTo(LeaseStep.Write(DutyRecord("self", 8, 4)))
        }

        @Test
        fun `that is renewed is left alone`() {
            lease.observe(DutyRecord("other", 7, 3), 0.seconds)
            expectThat(lease.observe(DutyRecord("other", 7, 4), 3_500.milliseconds)).isA<LeaseStep.Wait>()
        }

        @Test
        fun `that was given up is taken at once`() {
            expectThat(
                lease.observe(DutyRecord("", 7, 3), 0.seconds),
            ).isEqualTo(LeaseStep.Write(DutyRecord("self", 8, 4)))
        }
    }

    @Nested
    inner class `a holder` {
        @Test
        fun `stops before another one may take over, counted from the sending of the renewal`() {
            take()
            expectThat(lease.fencingTokenAt(2_399.milliseconds)).isEqualTo(1)
            expectThat(lease.fencingTokenAt(2_400.milliseconds)).isNull()
        }

        @Test
        fun `stops as soon as it sees another holder`() {
            take()
            lease.observe(DutyRecord("other", 2, 1), 100.milliseconds)
            expectThat(lease.fencingTokenAt(200.milliseconds)).isNull()
            expectThat(lease.renewed()).isNull()
        }

        @Test
        fun `fences off its own earlier orders with a higher token`() {
            take()
            expectThat(lease.advancedRecord()).isEqualTo(DutyRecord("self", 2, 1))
        }

        @Test
        fun `that gives the duty up may act no more`() {
            take()
            lease.recordWrite(checkNotNull(lease.releasedRecord()), 100.milliseconds)
            expectThat(lease.fencingTokenAt(200.milliseconds)).isNull()
        }
    }
}
