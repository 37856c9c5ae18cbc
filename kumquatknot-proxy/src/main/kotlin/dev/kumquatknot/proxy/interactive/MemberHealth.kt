package dev.kumquatknot.proxy.interactive

import dev.kumquatknot.core.history.HistoryPoint
import dev.kumquatknot.core.interactive.ReplicationReport
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** What this VM has seen of one member. */
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
    var report: ReplicationReport? = null
        private set
    var reportedAt: Duration? = null
        private set

    /** Whether the member can be counted on for work. */
    val isUsable: Boolean get() = failures < UNUSABLE_FAILURES

    fun answered(now: Duration) {
        answeredAt = now
        failingSince = null
        failures = 0
        refusing = false
    }

    fun failed(now: Duration, refused: Boolean) {
        if (failingSince == null) failingSince = answeredAt ?: now
        failures++
        refusing = refused
    }

    fun reached(end: HistoryPoint, now: Duration) {
        point = end
        pointAt = now
    }

    fun reported(next: ReplicationReport, now: Duration) {
        report = next
        reportedAt = now
    }

    companion object {
        /** Failures in a row after which work goes elsewhere. */
        const val UNUSABLE_FAILURES = 2

        /** Base of the pauses between attempts to reach a member. */
        val PAUSE = 150.milliseconds
    }
}
