package dev.kumquatknot.proxy.interactive

import dev.kumquatknot.core.interactive.MemberCommand
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Asks members about themselves where ordinary work has not told enough: the primary for proofs of freshness, replicas
 * for the ends of their logs. While a primary is in trouble all members are asked, so that its successor is known soon.
 */
internal class GroupObserver(private val environment: NodeEnvironment) {
    private val asked = HashSet<MemberLane>()

    /** Asks what [group] does not tell by itself; a VM that [decides] failovers asks its primary more often. */
    fun observe(group: GroupLanes, decides: Boolean) {
        val now = environment.now()
        val troubled = group.isTroubled(now)
        group.all.forEach { lane ->
            val needed = troubled || isQuiet(group, lane, now, decides)
            if (needed && lane !in asked) ask(lane, questions(group, lane, decides))
        }
    }

    private fun isQuiet(group: GroupLanes, lane: MemberLane, now: Duration, decides: Boolean): Boolean {
        val leads = group.leads(lane)
        val since = if (leads) group.proofs.latestProofRequestedAt else lane.health.answeredAt
        val limit = when {
            !leads -> REPLICA_AGE
            decides -> DECIDER_PROOF_AGE
            else -> PROOF_AGE
        }
        return since == null || !group.belief.isProved || lane.health.failures > 0 || now - since > limit
    }

    /**
     * An accepted transaction proves the lead, and a refused one that another member leads, without a slot of the
     * member. A report also counts connections, and tells whoever decides how much a member has received.
     */
    private fun questions(group: GroupLanes, lane: MemberLane, decides: Boolean): List<MemberCommand> {
        val reportedAt = lane.health.reportedAt
        val leads = group.belief.isProved && group.leads(lane) && lane.leavingSince == null
        val isReportRecent = reportedAt != null && environment.now() - reportedAt < REPORT_AGE
        return if (isReportRecent && (leads || !decides)) {
            listOf(MemberCommand.Begin(readOnly = false), MemberCommand.Rollback)
        } else {
            listOf(MemberCommand.Report)
        }
    }

    private fun GroupLanes.isTroubled(now: Duration): Boolean {
        val primary = primaryLane ?: return true
        val provedAt = proofs.latestProofRequestedAt
        return primary.leavingSince != null ||
            primary.health.failures > 0 ||
            provedAt == null ||
            now - provedAt > TROUBLE_AGE
    }

    private fun ask(lane: MemberLane, questions: List<MemberCommand>) {
        asked += lane
        lane.borrow { link ->
            if (link == null) {
                asked -= lane
                val now = environment.now()
                // Where all connections that the member allows are in use, it has not failed to answer.
                val openingFor = lane.openingSince?.let { now - it }
                val unanswered = openingFor != null && openingFor >= environment.limits.report
                if (unanswered) lane.health.failed(now, refused = false)
                return@borrow
            }
            link.run(questions, environment.limits.report) { result ->
                asked -= lane
                when (result) {
                    is BatchResult.Answered -> lane.putBack(link)
                    is BatchResult.Broken -> lane.health.failed(environment.now(), refused = false)
                }
            }
        }
    }

    private companion object {
        /** Age of the newest proof above which the primary is asked; a fraction of the staleness that routes allow. */
        val PROOF_AGE: Duration = 400.milliseconds

        /** The same for a VM that decides failovers, which must notice a loss soon. */
        val DECIDER_PROOF_AGE: Duration = 200.milliseconds

        /** Age of the newest proof above which something is wrong: a question was not answered. */
        val TROUBLE_AGE: Duration = PROOF_AGE * 2

        /** Age up to which the count of a member's connections is good enough for opening more. */
        val REPORT_AGE: Duration = 3.seconds

        /** Age of the last answer of a replica above which it is asked. */
        val REPLICA_AGE: Duration = 2.seconds
    }
}
