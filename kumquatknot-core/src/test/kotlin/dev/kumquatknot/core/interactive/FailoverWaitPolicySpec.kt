package dev.kumquatknot.core.interactive

import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class FailoverWaitPolicySpec {
    private val policy =
        FailoverWaitPolicy(
            FailoverWaitTiming(
                expectedDuration = 3.seconds,
                maximumDuration = 4.seconds,
                service = 100.milliseconds,
            ),
        )

    private fun latestWaitTime(now: Int, deadline: Int) =
        policy.latestWaitTime(10.seconds, now.milliseconds, deadline.milliseconds)

    @Nested
    inner class `a request during a failover` {
        @Test
        fun `waits until its deadline less the service time if a new primary is expected in time`() {
            expectThat(latestWaitTime(now = 12_500, deadline = 13_300)).isEqualTo(13_200.milliseconds)
        }

        @Test
        fun `does not wait if its deadline is before the new primary is expected`() {
            expectThat(latestWaitTime(now = 12_000, deadline = 13_000)).isNull()
        }

        @Test
        fun `waits up to the maximum duration if the failover is late`() {
            expectThat(latestWaitTime(now = 13_500, deadline = 15_000)).isEqualTo(14.seconds)
        }

        @Test
        fun `does not wait for a failover that is stuck`() {
            expectThat(latestWaitTime(now = 14_500, deadline = 20_000)).isNull()
        }
    }
}
