package dev.kumquatknot.proxy.pool

import dev.kumquatknot.core.databasegroup.ReceivedReport
import dev.kumquatknot.core.history.HistoryPoint
import dev.kumquatknot.core.interactive.ReplicationReport
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Health and log position of one member as observed by this VM. */
internal class MemberHealth {
    var answeredAt: Duration? = null
        private set
    var failingSince: Duration? = null
        private set
    var failures: Int = 0
        private set
    var refusing: Boolean = false
        private set
    var point: HistoryPoint? = null
        private set
    var pointAt: Duration = Duration.ZERO
        private set

    /** The last report. */
    var report: ReceivedReport? = null
        private set

    /** Time at which the member's address last accepted a connection, whether or not the member served it. */
    var acceptedAt: Duration? = null
        private set

    /** Whether the member should get reads. */
    val isUsable: Boolean get() = failures < UNUSABLE_AFTER_FAILURES

    private var observedSince = -Duration.INFINITE

    /** Discards the failures seen before [now], as this VM has not polled the member for a while. */
    fun resumeObservation(now: Duration) {
        observedSince = now
        failingSince = null
        failures = 0
        refusing = false
    }

    fun recordAnswer(now: Duration) {
        answeredAt = now
        failingSince = null
        failures = 0
        refusing = false
    }

    fun recordFailure(now: Duration, refused: Boolean) {
        if (failingSince == null) failingSince = maxOf(answeredAt ?: now, observedSince)
        failures++
        refusing = refused
    }

    fun recordPoint(end: HistoryPoint, now: Duration) {
        point = end
        pointAt = now
    }

    fun recordAccepted(now: Duration) {
        acceptedAt = now
    }

    fun recordReport(next: ReplicationReport, requestedAt: Duration, now: Duration) {
        report = ReceivedReport(next.received, requestedAt, now, next.primary, next.term, next.held)
    }

    /** Whether the member reported on a request at [since] or later that it was told to stop receiving commits. */
    fun isPaused(since: Duration): Boolean =
        report?.let { it.requestedAt >= since && it.isPaused } ?: false

    companion object {
        /** Consecutive failures after which reads go to other members. */
        const val UNUSABLE_AFTER_FAILURES = 2

        /** Base delay between attempts to connect to a member. */
        val RETRY_DELAY = 150.milliseconds
    }
}
