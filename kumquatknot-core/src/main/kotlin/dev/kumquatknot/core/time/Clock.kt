package dev.kumquatknot.core.time

import java.time.Instant
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

/** Source of time, passed to everything that needs one. */
public interface Clock {
    /** Monotonic time since an arbitrary origin of this process. Decisions and deadlines use it. */
    public fun elapsed(): Duration

    /** Calendar time, for pages, logs and dates only. */
    public fun instant(): Instant
}

/** [Clock] of the running machine. */
public object SystemClock : Clock {
    override fun elapsed(): Duration = System.nanoTime().nanoseconds

    override fun instant(): Instant = Instant.now()
}
