package dev.kumquatknot.proxy.interactive

import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Runs [task] on ticks of [interval], and only on those ticks on which it may have something to do.
 *
 * @param task returns the time at which it is due again, in the past if that is the next tick. Without a [wake] it runs
 * after [LONGEST_REST] at the latest.
 */
internal class RestingTimer(
    private val environment: NodeEnvironment,
    private val interval: Duration,
    private val task: (now: Duration) -> Duration,
) {
    private val nanos = interval.inWholeNanoseconds
    private var startedAt: Duration? = null
    private var wakesAt = Duration.INFINITE
    private var cancel: Cancel? = null

    /** Starts the timer; the first tick is one interval from now. */
    fun start() {
        startedAt = environment.now()
        wake()
    }

    /** Runs the task on the next tick, since it has something to do. */
    fun wake() = wakeAt(environment.now())

    private fun run() {
        wakesAt = Duration.INFINITE
        var due = environment.now()
        try {
            due = task(due)
        } finally {
            wakeAt(due)
        }
    }

    private fun wakeAt(due: Duration) {
        val origin = startedAt ?: return
        val now = environment.now()
        val tick = maxOf(tickAfter(now - origin), tickFrom(minOf(due, now + LONGEST_REST) - origin)) + origin
        if (tick >= wakesAt) return
        cancel?.invoke()
        wakesAt = tick
        cancel = environment.schedule(tick - now, ::run)
    }

    private fun tickAfter(time: Duration): Duration = (
        (
            time.inWholeNanoseconds.floorDiv(
                nanos,
            ) + 1
        ) * nanos
    ).nanoseconds

    private fun tickFrom(time: Duration): Duration = (-(-time.inWholeNanoseconds).floorDiv(nanos) * nanos).nanoseconds

    companion object {
        /** Longest time without a run of the task, which bounds the effect of a missing [wake]. */
        val LONGEST_REST: Duration = 1.seconds
    }
}
