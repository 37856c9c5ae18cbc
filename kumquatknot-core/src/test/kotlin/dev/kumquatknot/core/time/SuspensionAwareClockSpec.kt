package dev.kumquatknot.core.time

import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class SuspensionAwareClockSpec {
    private var steadyNanos = 1_000_000_000L
    private var calendarMillis = 50_000L
    private val clock = SuspensionAwareClock({ steadyNanos }, { calendarMillis })

    private fun run(millis: Long) {
        steadyNanos += millis * 1_000_000
        calendarMillis += millis
    }

    @Nested
    inner class `elapsed time` {
        @Test
        fun `is that of the steady clock while the VM runs`() {
            run(500)
            expectThat(clock.elapsed()).isEqualTo(1_500.milliseconds)
        }

        @Test
        fun `counts a suspension, which the steady clock leaves out`() {
            calendarMillis += 4_000
            run(10)
            expectThat(clock.elapsed()).isEqualTo(5_010.milliseconds)
        }

        @Test
        fun `does not go back with the calendar clock`() {
            calendarMillis -= 3_000
            run(10)
            expectThat(clock.elapsed()).isEqualTo(1_010.milliseconds)
        }

        @Test
        fun `counts a suspension after the calendar clock was set back`() {
            calendarMillis -= 3_000
            clock.elapsed()
            calendarMillis += 2_000
            expectThat(clock.elapsed()).isEqualTo(3.seconds)
        }
    }
}
