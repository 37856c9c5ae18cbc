package dev.kumquatknot.core.time

import java.time.Instant
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.nanoseconds

/**
 * A monotonic [Clock] that includes the time for which the VM was suspended, which the system's monotonic clock omits.
 *
 * A suspension is detected by the wall clock advancing further than the monotonic clock. Setting the wall clock ahead
 * looks the same and is counted as well: that is safe, since it only makes data look older than it is.
 */
public class SuspensionAwareClock(
    private val monotonicNanos: () -> Long = System::nanoTime,
    private val wallClockMillis: () -> Long = System::currentTimeMillis,
) : Clock {
    private var offset = wallClockMillis() - monotonicNanos() / NANOS_PER_MILLI
    private var suspended = Duration.ZERO

    @Synchronized
    override fun elapsed(): Duration {
        val monotonic = monotonicNanos()
        val ahead = wallClockMillis() - monotonic / NANOS_PER_MILLI - offset
        if (ahead > TOLERANCE_MILLIS) suspended += ahead.milliseconds
        if (ahead > TOLERANCE_MILLIS || ahead < 0) offset += ahead
        return monotonic.nanoseconds + suspended
    }

    override fun instant(): Instant = Instant.ofEpochMilli(wallClockMillis())

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000

        /** Allows for rounding of the wall clock and for a thread that is preempted between reading the two clocks. */
        const val TOLERANCE_MILLIS = 20
    }
}
