package dev.kumquatknot.core.interactive

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Decides whether work waits while its group has no primary, for the duration of a failover: what arrives
 * shortly before its end is served a little late, and what cannot be served in its time is rejected at once.
 */
public class FailoverWaitPolicy(private val timing: FailoverWaitTiming = FailoverWaitTiming()) {
    /**
     * Returns the time until which a request with the given [deadline] waits for a new primary, where the old one
     * responded last at [lostSince]; null if a new primary is not expected in time.
     */
    public fun latestWaitTime(lostSince: Duration, now: Duration, deadline: Duration): Duration? {
        val end = minOf(deadline - timing.service, lostSince + timing.maximumDuration)
        val expected = maxOf(lostSince + timing.expectedDuration, now)
        return end.takeIf { expected <= it }
    }
}

/**
 * Durations that a [FailoverWaitPolicy] assumes.
 *
 * @property expectedDuration expected time from the last response of a primary to the first one of its successor: 1.3 s
 * until the loss is certain, 1 s for the promotion by the platform, and the time until the new primary is discovered.
 * @property maximumDuration time after which a failover is assumed to be stuck, for example because the store is
 * unavailable.
 * @property service time that the work itself needs once a primary is there.
 */
public data class FailoverWaitTiming(
    val expectedDuration: Duration = 2_800.milliseconds,
    val maximumDuration: Duration = 4.seconds,
    val service: Duration = 100.milliseconds,
)
