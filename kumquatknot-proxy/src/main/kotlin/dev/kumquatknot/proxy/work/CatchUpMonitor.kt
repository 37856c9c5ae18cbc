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
 * Lets threads wait until a member reaches a point. Only one of the waiting threads polls the member at a time; its
 * results are shared with the others. The lock is held neither during a call nor while another lock is acquired.
 */
internal class CatchUpMonitor(private val port: MemberPort, private val group: GroupRunner, private val clock: Clock) {
    private val lock = ReentrantLock()
    private val advanced = lock.newCondition()
    private var highestPoint = HistoryPoint.START
    private var polling = false
    private var averageLag = INITIAL_LAG

    /**
     * Highest point that the member has been observed to hold. It does not decrease when the member discards the end of
     * its log; the points in its replies show that.
     */
    val observedPoint: HistoryPoint get() = lock.withLock { highestPoint }

    /** Moving average of the time that reads waited for the member. */
    val lag: Duration get() = lock.withLock { averageLag }

    /** Records that the member holds [point]. */
    fun observe(point: HistoryPoint) = lock.withLock {
        if (point > highestPoint) {
            highestPoint = point
            advanced.signalAll()
        }
    }

    /** Blocks until the member holds [required], at most until [until]; returns whether it does. */
    fun await(required: HistoryPoint, until: Duration): Boolean {
        observe(group.view().pointOf(port.member))
        val startedAt = clock.elapsed()
        if (observedPoint.covers(required)) return true
        val reached = awaitReached(required, until)
        recordWait(clock.elapsed() - startedAt, reached)
        return reached
    }

    private fun recordWait(waited: Duration, reached: Boolean) = lock.withLock {
        val sample = if (reached) waited else waited * UNREACHED_WAIT_FACTOR
        averageLag = averageLag * (1 - LAG_SAMPLE_WEIGHT) + sample * LAG_SAMPLE_WEIGHT
    }

    private fun awaitReached(required: HistoryPoint, until: Duration): Boolean {
        while (true) {
            val mayPoll = lock.withLock {
                if (highestPoint.covers(required)) return true
                val remaining = until - clock.elapsed()
                if (remaining <= Duration.ZERO) return false
                if (polling) advanced.await(minOf(remaining, POLL_INTERVAL).inWholeNanoseconds, TimeUnit.NANOSECONDS)
                val mayStartPoll = !polling
                if (mayStartPoll) polling = true
                mayStartPoll
            }
            if (mayPoll) poll(required, until)
        }
    }

    private fun poll(required: HistoryPoint, until: Duration) {
        try {
            port.report(REPORT_TIMEOUT).onRight { observe(it.lastEntry) }
        } finally {
            lock.withLock {
                val remaining = until - clock.elapsed()
                if (!highestPoint.covers(required) && remaining > Duration.ZERO) {
                    advanced.await(minOf(remaining, POLL_INTERVAL).inWholeNanoseconds, TimeUnit.NANOSECONDS)
                }
                polling = false
                advanced.signalAll()
            }
        }
    }

    private companion object {
        /** Time between two polls of the member while requests wait. */
        val POLL_INTERVAL = 4.milliseconds
        val REPORT_TIMEOUT = 200.milliseconds
        val INITIAL_LAG = 30.milliseconds
        const val LAG_SAMPLE_WEIGHT = 0.2
        const val UNREACHED_WAIT_FACTOR = 2.0
    }
}
