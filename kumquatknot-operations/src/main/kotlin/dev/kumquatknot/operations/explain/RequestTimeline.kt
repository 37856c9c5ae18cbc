package dev.kumquatknot.operations.explain

import java.time.Duration

/** What a line has to do with the request that is explained. */
public enum class TimelineRole {
    /** It is about the request itself. */
    DECISION,

    /** It says what the deciding VM believed at the time. */
    BELIEF,

    /** It says what happened to the group at another VM around that time. */
    ELSEWHERE,
}

/** One line of a [RequestTimeline]. */
public data class TimelineLine(val role: TimelineRole, val line: LogLine)

/** What the logs of several VMs tell about one request, in order of time. */
public data class RequestTimeline(val request: String, val lines: List<TimelineLine>) {
    public companion object {
        /** Time around a decision in which a failover of its group may explain it; orders are given up after 3.5 s. */
        private val AROUND: Duration = Duration.ofSeconds(5)

        /** Events of other VMs that change what holds for a group everywhere. */
        private val everywhere = setOf("FAILOVER_ORDERED", "FAILOVER_ANSWERED", "DUTY_TAKEN", "DUTY_LOST")

        /** Returns the story of [request]; null where no log names it. */
        public fun of(request: String, logs: List<LogLine>): RequestTimeline? {
            val decisions = logs.filter { it.request == request }
            if (decisions.isEmpty()) return null
            val beliefs = decisions.flatMap { decision -> believed(decision, logs) }.distinct()
            val elsewhere = logs.filter { line -> decisions.any { concerns(line, it) } } - beliefs.toSet()
            val lines = decisions.map { TimelineLine(TimelineRole.DECISION, it) } +
                beliefs.map { TimelineLine(TimelineRole.BELIEF, it) } +
                elsewhere.map { TimelineLine(TimelineRole.ELSEWHERE, it) }
            return RequestTimeline(request, lines.sortedBy { it.line.at })
        }

        /** The newest line of each kind that [decision]'s VM wrote before it about its group or about itself. */
        private fun believed(decision: LogLine, logs: List<LogLine>): List<LogLine> =
            logs.filter { it.source == decision.source && it.request == null && !it.at.isAfter(decision.at) }
                .filter { it.group == null || it.group == decision.group }
                .groupBy { Triple(it.event, it.fields["member"], it.fields["duty"]) }
                .values.map { lines -> lines.maxBy { it.at } }

        private fun concerns(line: LogLine, decision: LogLine): Boolean {
            val isNear = Duration.between(line.at, decision.at).abs() <= AROUND
            return isNear && line.event in everywhere && (line.group == null || line.group == decision.group)
        }
    }
}
