package dev.kumquatknot.proxy.work

import dev.kumquatknot.core.history.HistoryPoint
import dev.kumquatknot.core.member.MemberPort
import dev.kumquatknot.core.time.Clock
import dev.kumquatknot.proxy.group.GroupRunner
import java.util.concurrent.TimeUnit
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Waits for a member to reach a point. Of all threads that wait, one at a time asks the member for its report; the
 * others learn from it. Lock order: this lock is never held during a call or while another lock is taken.
 */
internal class CatchUpMonitor(private val port: MemberPort, private val group: GroupRunner, private val clock: Clock) {
    private val lock = ReentrantLock()
    private val advanced = lock.newCondition()
    private var highest = HistoryPoint.START
    private var polling = false
    private var averageLag = INITIAL_LAG

    /** Highest point that the member was seen to hold. A member that discards its tail is seen through its replies. */
    val known: HistoryPoint get() = lock.withLock { highest }

    /** Recent time that reads waited for the member. */
    val lag: Duration get() = lock.withLock { averageLag }

    /** Learns that the member holds [point]. */
    fun observe(point: HistoryPoint) = lock.withLock {
        if (point > highest) {
            highest = point
            advanced.signalAll()
        }
    }

    /** Waits until the member holds [required], at most until [until]; tells whether it does. */
    fun await(required: HistoryPoint, until: Duration): Boolean {
        observe(group.view().pointOf(port.member))
        val startedAt = clock.elapsed()
        if (known.covers(required)) return true
        val reached = awaitReached(required, until)
        recordWait(clock.elapsed() - startedAt, reached)
        return reached
    }

    private fun recordWait(waited: Duration, reached: Boolean) = lock.withLock {
        val sample = if (reached) waited else waited * UNREACHED_FACTOR
        averageLag = averageLag * (1 - WEIGHT) + sample * WEIGHT
    }

    private fun awaitReached(required: HistoryPoint, until: Duration): Boolean {
        while (true) {
            val mayPoll = lock.withLock {
                if (highest.covers(required)) return true
                val left = until - clock.elapsed()
                if (left <= Duration.ZERO) return false
                if (polling) advanced.await(minOf(left, POLL_INTERVAL).inWholeNanoseconds, TimeUnit.NANOSECONDS)
                val free = !polling
                if (free) polling = true
                free
            }
            if (mayPoll) poll(required, until)
        }
    }

    private fun poll(required: HistoryPoint, until: Duration) {
        try {
            port.report(REPORT_TIMEOUT).onRight { observe(it.lastEntry) }
        } finally {
            lock.withLock {
                val left = until - clock.elapsed()
                if (!highest.covers(required) && left > Duration.ZERO) {
                    advanced.await(minOf(left, POLL_INTERVAL).inWholeNanoseconds, TimeUnit.NANOSECONDS)
                }
                polling = false
                advanced.signalAll()
            }
        }
    }

    private companion object {
        /** Time between two reports while work waits. */
        val POLL_INTERVAL = 4.milliseconds
        val REPORT_TIMEOUT = 200.milliseconds
        val INITIAL_LAG = 30.milliseconds
        const val WEIGHT = 0.2
        const val UNREACHED_FACTOR = 2.0
    }
}
