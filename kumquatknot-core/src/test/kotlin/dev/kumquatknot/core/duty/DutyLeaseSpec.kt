package dev.kumquatknot.core.duty

import dev.kumquatknot.core.platform.StoreEra
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class DutyLeaseSpec {
    private val lease = DutyLease("self", 3.seconds)

    private fun acquire(at: Duration = 0.seconds) {
        val step = lease.observe(null, at) as LeaseStep.Write
        lease.recordWrite(step.record, at)
    }

    @Nested
    inner class `a lease` {
        @Test
        fun `is acquired if there is no record`() {
            expectThat(lease.observe(null, 0.seconds)).isEqualTo(LeaseStep.Write(DutyRecord("self", 1, 0)))
        }

        @Test
        fun `of another holder is taken over with a higher token once its record has stayed unchanged`() {
            val record = DutyRecord("other", 7, 3)
            expectThat(lease.observe(record, 0.seconds)).isA<LeaseStep.Wait>()
            expectThat(lease.observe(record, 3.seconds)).isA<LeaseStep.Wait>()
            expectThat(lease.observe(record, 3_001.milliseconds)).isEqualTo(LeaseStep.Write(DutyRecord("self", 8, 4)))
        }

        @Test
        fun `that another holder renews is not taken over`() {
            lease.observe(DutyRecord("other", 7, 3), 0.seconds)
            expectThat(lease.observe(DutyRecord("other", 7, 4), 3_500.milliseconds)).isA<LeaseStep.Wait>()
        }

        @Test
        fun `that was released is acquired at once`() {
            expectThat(
                lease.observe(DutyRecord("", 7, 3), 0.seconds),
            ).isEqualTo(LeaseStep.Write(DutyRecord("self", 8, 4)))
        }
    }

    @Nested
    inner class `in a new era of the store` {
        private val era = StoreEra(5)

        private fun tokenOf(step: LeaseStep) = (step as LeaseStep.Write).record.token

        @Test
        fun `a process that held no lease waits until the one of the former era has ended`() {
            lease.observe(DutyRecord("other", 7, 3), 0.seconds)
            lease.enterEra(era)
            expectThat(lease.observe(null, 1.seconds)).isA<LeaseStep.Wait>()
            expectThat(lease.observe(null, 4.seconds)).isA<LeaseStep.Wait>()
            expectThat(lease.observe(null, 4_001.milliseconds)).isA<LeaseStep.Write>()
        }

        @Test
        fun `the holder creates the record at once and goes on with its lease until then`() {
            acquire()
            lease.enterEra(era)
            expectThat(lease.fencingTokenAt(1.seconds)).isEqualTo(1)
            expectThat(lease.observe(null, 1.seconds)).isA<LeaseStep.Write>()
        }

        @Test
        fun `a former holder whose lease has ended waits like the others`() {
            acquire()
            lease.enterEra(era)
            expectThat(lease.observe(null, 2_400.milliseconds)).isA<LeaseStep.Wait>()
        }

        @Test
        fun `tokens exceed all that the store has lost`() {
            lease.observe(DutyRecord("other", 7_000_000, 3), 0.seconds)
            lease.enterEra(era)
            lease.observe(null, 1.seconds)
            val token = tokenOf(lease.observe(null, 5.seconds))
            expectThat(token).isGreaterThan(7_000_000)
            lease.enterEra(StoreEra(6))
            lease.observe(null, 6.seconds)
            expectThat(tokenOf(lease.observe(null, 10.seconds))).isGreaterThan(token + 7_000_000)
        }
    }

    @Nested
    inner class `a holder` {
        @Test
        fun `stops acting before a takeover is possible, counted from the sending of the renewal`() {
            acquire()
            expectThat(lease.fencingTokenAt(2_399.milliseconds)).isEqualTo(1)
            expectThat(lease.fencingTokenAt(2_400.milliseconds)).isNull()
        }

        @Test
        fun `stops acting as soon as it observes another holder`() {
            acquire()
            lease.observe(DutyRecord("other", 2, 1), 100.milliseconds)
            expectThat(lease.fencingTokenAt(200.milliseconds)).isNull()
            expectThat(lease.renewedRecord()).isNull()
        }

        @Test
        fun `does not renew its lease from a stale record after another process took it over`() {
            acquire()
            lease.observe(DutyRecord("other", 2, 1), 4.seconds)
            lease.observe(DutyRecord("self", 1, 0), 5.seconds, isStale = true)
            expectThat(lease.renewedRecord()).isNull()
            expectThat(lease.advancedRecord()).isNull()
            expectThat(lease.releasedRecord()).isNull()
        }

        @Test
        fun `fences off its own earlier orders with a higher token`() {
            acquire()
            expectThat(lease.advancedRecord()).isEqualTo(DutyRecord("self", 2, 1))
        }

        @Test
        fun `stops acting after releasing the lease`() {
            acquire()
            lease.recordWrite(checkNotNull(lease.releasedRecord()), 100.milliseconds)
            expectThat(lease.fencingTokenAt(200.milliseconds)).isNull()
        }
    }
}
