package dev.kumquatknot.proxy.interactive

import dev.kumquatknot.core.interactive.MemberCommand
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Asks members about themselves where ordinary work has not told enough: the primary for proofs of freshness, replicas
 * for the ends of their logs. A VM that decides failovers asks all members all the time.
 */
internal class GroupObserver(private val environment: NodeEnvironment) {
    private val asked = HashSet<MemberLane>()

    /** Asks what [group] does not tell by itself; [all] asks every member of a group whose primary is in trouble. */
    fun observe(group: GroupLanes, all: Boolean) {
        val now = environment.now()
        group.all.forEach { lane ->
            val needed = (all && group.isTroubled(now)) || isQuiet(group, lane, now)
            if (needed && lane !in asked) ask(group, lane)
        }
    }

    private fun isQuiet(group: GroupLanes, lane: MemberLane, now: Duration): Boolean {
        val leads = lane.member.name == group.belief.primary
        val since = if (leads) group.proofs.latestAskedAt else lane.health.answeredAt
        val limit = if (leads) PROOF_AGE else REPLICA_AGE
        return since == null || !group.belief.isProved || lane.health.failures > 0 || now - since > limit
    }

    /** An accepted transaction proves the lead without a slot of the member; a report also counts connections. */
    private fun questions(group: GroupLanes, lane: MemberLane): List<MemberCommand> {
        val reportedAt = lane.health.reportedAt
        val leads = group.belief.isProved && lane.member.name == group.belief.primary && lane.leavingSince == null
        val isReportRecent = reportedAt != null && environment.now() - reportedAt < REPORT_AGE
        return if (leads && isReportRecent) {
            listOf(MemberCommand.Begin(readOnly = false), MemberCommand.Rollback)
        } else {
            listOf(MemberCommand.Report)
        }
    }

    private fun GroupLanes.isTroubled(now: Duration): Boolean {
        val primary = all.firstOrNull { it.member.name == belief.primary } ?: return true
        val provedAt = proofs.latestAskedAt
        return primary.leavingSince != null ||
            primary.health.failures > 0 ||
            provedAt == null ||
            now - provedAt > TROUBLE_AGE
    }

    private fun ask(group: GroupLanes, lane: MemberLane) {
        asked += lane
        lane.borrow { link ->
            if (link == null) {
                asked -= lane
                return@borrow
            }
            link.run(questions(group, lane), environment.limits.report) { result ->
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

        /** Age of the newest proof above which something is wrong: a question was not answered. */
        val TROUBLE_AGE: Duration = PROOF_AGE * 2

        /** Age up to which the count of a member's connections is good enough for opening more. */
        val REPORT_AGE: Duration = 3.seconds

        /** Age of the last answer of a replica above which it is asked. */
        val REPLICA_AGE: Duration = 2.seconds
    }
}
