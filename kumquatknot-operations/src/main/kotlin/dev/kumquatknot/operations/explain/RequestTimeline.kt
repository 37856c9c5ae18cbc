package dev.kumquatknot.operations.explain

import java.time.Duration

/** How a log line relates to the explained request. */
public enum class TimelineRole {
    /** The line concerns the request itself. */
    DECISION,

    /** The line shows the state of the cluster as last observed by the deciding VM before it decided. */
    BELIEF,

    /** The line shows an event around the same time that affects the database group at every VM. */
    ELSEWHERE,
}

/** One line of a [RequestTimeline]. */
public data class TimelineLine(val role: TimelineRole, val line: LogLine)

/** Events in the logs of several VMs that explain the outcome of one request, ordered by time. */
public data class RequestTimeline(val request: String, val lines: List<TimelineLine>) {
    public companion object {
        /** A failover this long before or after a decision may explain it; failover orders time out after 3.5 s. */
        private val FAILOVER_WINDOW: Duration = Duration.ofSeconds(5)

        /** Events that affect a group at every VM, not only at the VM that logged them. */
        private val groupWideEvents = setOf("FAILOVER_ORDERED", "FAILOVER_ANSWERED", "DUTY_TAKEN", "DUTY_LOST")

        /** Returns the timeline of [request]; null if no log line names the request. */
        public fun of(request: String, logs: List<LogLine>): RequestTimeline? {
            val decisions = logs.filter { it.request == request }
            if (decisions.isEmpty()) return null
            val beliefs = decisions.flatMap { decision -> precedingEvents(decision, logs) }.distinct()
            val elsewhere = logs.filter { line -> decisions.any { mayExplain(line, it) } } - beliefs.toSet()
            val lines = decisions.map { TimelineLine(TimelineRole.DECISION, it) } +
                beliefs.map { TimelineLine(TimelineRole.BELIEF, it) } +
                elsewhere.map { TimelineLine(TimelineRole.ELSEWHERE, it) }
            return RequestTimeline(request, lines.sortedBy { it.line.at })
        }

        /** Returns the latest line of each kind that the VM of [decision] logged before, on its group or itself. */
        private fun precedingEvents(decision: LogLine, logs: List<LogLine>): List<LogLine> =
            logs.filter { it.source == decision.source && it.request == null && !it.at.isAfter(decision.at) }
                .filter { it.group == null || it.group == decision.group }
                .groupBy { Triple(it.event, it.fields["member"], it.fields["duty"]) }
                .values.map { lines -> lines.maxBy { it.at } }

        private fun mayExplain(line: LogLine, decision: LogLine): Boolean {
            val isWithinWindow = Duration.between(line.at, decision.at).abs() <= FAILOVER_WINDOW
            return isWithinWindow &&
                line.event in groupWideEvents &&
                (line.group == null || line.group == decision.group)
        }
    }
}
