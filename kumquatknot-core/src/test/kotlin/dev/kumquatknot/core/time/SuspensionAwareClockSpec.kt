package dev.kumquatknot.core.time

import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class SuspensionAwareClockSpec {
    private var monotonicNanos = 1_000_000_000L
    private var wallClockMillis = 50_000L
    private val clock = SuspensionAwareClock({ monotonicNanos }, { wallClockMillis })

    private fun advance(millis: Long) {
        monotonicNanos += millis * 1_000_000
        wallClockMillis += millis
    }

    @Nested
    inner class `elapsed time` {
        @Test
        fun `equals the monotonic clock while the VM runs`() {
            advance(500)
            expectThat(clock.elapsed()).isEqualTo(1_500.milliseconds)
        }

        @Test
        fun `includes a suspension, which the monotonic clock omits`() {
            wallClockMillis += 4_000
            advance(10)
            expectThat(clock.elapsed()).isEqualTo(5_010.milliseconds)
        }

        @Test
        fun `does not go back when the wall clock is set back`() {
            wallClockMillis -= 3_000
            advance(10)
            expectThat(clock.elapsed()).isEqualTo(1_010.milliseconds)
        }

        @Test
        fun `includes a suspension after the wall clock was set back`() {
            wallClockMillis -= 3_000
            clock.elapsed()
            wallClockMillis += 2_000
            expectThat(clock.elapsed()).isEqualTo(3.seconds)
        }
    }
}
