package dev.kumquatknot.core.interactive

import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class FailoverWaitPolicySpec {
    private val patience =
        FailoverWaitPolicy(OutageTiming(usual = 3.seconds, longest = 4.seconds, service = 100.milliseconds))

    private fun latestWaitTime(now: Int, deadline: Int) =
        patience.latestWaitTime(10.seconds, now.milliseconds, deadline.milliseconds)

    @Nested
    inner class `work during a failover` {
        @Test
        fun `waits until its last chance where the successor is expected in time`() {
            expectThat(latestWaitTime(now = 12_500, deadline = 13_300)).isEqualTo(13_200.milliseconds)
        }

        @Test
        fun `does not wait where its time ends before that`() {
            expectThat(latestWaitTime(now = 12_000, deadline = 13_000)).isNull()
        }

        @Test
        fun `waits a little longer than usual where the failover is late`() {
            expectThat(latestWaitTime(now = 13_500, deadline = 15_000)).isEqualTo(14.seconds)
        }

        @Test
        fun `does not wait for a failover that is stuck`() {
            expectThat(latestWaitTime(now = 14_500, deadline = 20_000)).isNull()
        }
    }
}
