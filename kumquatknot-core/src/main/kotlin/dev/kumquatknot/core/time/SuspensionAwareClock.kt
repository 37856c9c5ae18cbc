package dev.kumquatknot.core.time

import java.time.Instant
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.nanoseconds

/**
 * A monotonic [Clock] that also counts the time for which the VM was suspended, which the steady clock leaves out.
 *
 * A suspension shows as calendar time that went on without the steady clock. So does a calendar clock that was set
 * ahead; it is counted as well, since that only makes what is known look older than it is.
 */
public class SuspensionAwareClock(
    private val steadyNanos: () -> Long = System::nanoTime,
    private val calendarMillis: () -> Long = System::currentTimeMillis,
) : Clock {
    private var offset = calendarMillis() - steadyNanos() / NANOS_PER_MILLI
    private var suspended = Duration.ZERO

    @Synchronized
    override fun elapsed(): Duration {
        val steady = steadyNanos()
        val ahead = calendarMillis() - steady / NANOS_PER_MILLI - offset
        if (ahead > TOLERANCE_MILLIS) suspended += ahead.milliseconds
        if (ahead > TOLERANCE_MILLIS || ahead < 0) offset += ahead
        return steady.nanoseconds + suspended
    }

    override fun instant(): Instant = Instant.ofEpochMilli(calendarMillis())

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000

        /** Rounding of the calendar clock and a thread that loses the processor between two readings. */
        const val TOLERANCE_MILLIS = 20
    }
}
