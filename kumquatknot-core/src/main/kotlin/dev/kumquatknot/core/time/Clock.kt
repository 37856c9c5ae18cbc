package dev.kumquatknot.core.time

import java.time.Instant
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

/** Source of time, injected into the code that depends on it. */
public interface Clock {
    /** Monotonic time since an arbitrary origin of this process. Used for decisions and deadlines. */
    public fun elapsed(): Duration

    /** Wall-clock time, for pages, logs and dates only. */
    public fun instant(): Instant
}

/** [Clock] of the operating system. */
public object SystemClock : Clock {
    override fun elapsed(): Duration = System.nanoTime().nanoseconds

    override fun instant(): Instant = Instant.now()
}
