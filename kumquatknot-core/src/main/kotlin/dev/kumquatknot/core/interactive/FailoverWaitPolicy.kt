package dev.kumquatknot.core.interactive

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Decides whether work waits for a group that has lost its primary. Answers the time of a failover: what arrives
 * shortly before its end is served a little late, and what cannot be served in its time is rejected at once.
 */
public class FailoverWaitPolicy(private val timing: OutageTiming = OutageTiming()) {
    /**
     * Returns until when work that must end by [deadline] waits at [now], where the primary was seen last at
     * [lostSince]; null where waiting is in vain.
     */
    public fun latestWaitTime(lostSince: Duration, now: Duration, deadline: Duration): Duration? {
        val end = minOf(deadline - timing.service, lostSince + timing.longest)
        val expected = maxOf(lostSince + timing.usual, now)
        return end.takeIf { expected <= it }
    }
}

/**
 * Times of an [FailoverWaitPolicy].
 *
 * @property usual time from the last sign of a primary to the first of its successor: 1.3 s to be sure of the loss, 1 s
 * for the platform to promote, and the time to learn of it.
 * @property longest time after which a failover counts as stuck, for example because the store is away.
 * @property service time that the work itself needs once a primary is there.
 */
public data class OutageTiming(
    val usual: Duration = 2_800.milliseconds,
    val longest: Duration = 4.seconds,
    val service: Duration = 100.milliseconds,
)
