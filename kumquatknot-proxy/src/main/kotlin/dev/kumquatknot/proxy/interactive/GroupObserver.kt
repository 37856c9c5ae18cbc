package dev.kumquatknot.proxy.interactive

import dev.kumquatknot.core.interactive.MemberCommand
import kotlin.time.Duration

/**
 * Asks members about themselves where ordinary work has not told enough: the primary for proofs of freshness, replicas
 * for the ends of their logs. A VM that decides failovers asks all members all the time.
 */
internal class GroupObserver(private val environment: NodeEnvironment) {
    private val asked = HashSet<MemberLane>()

    /** Asks what [group] does not tell by itself; [all] asks every member. */
    fun observe(group: GroupLanes, all: Boolean) {
        val now = environment.now()
        group.all.forEach { lane ->
            val needed = all || isQuiet(group, lane, now)
            if (needed && lane !in asked) ask(group, lane)
        }
    }

    private fun isQuiet(group: GroupLanes, lane: MemberLane, now: Duration): Boolean {
        val leads = lane.member.name == group.belief.primary
        val since = if (leads) group.proofs.latestAskedAt else lane.health.answeredAt
        val limit = if (leads && group.belief.isProved) PROOF_AGE else REPLICA_AGE
        return since == null || !group.belief.isProved || now - since > limit
    }

    private fun ask(group: GroupLanes, lane: MemberLane) {
        asked += lane
        lane.borrow { link ->
            if (link == null) {
                asked -= lane
                return@borrow
            }
            link.run(listOf(MemberCommand.Report), environment.limits.report) { result ->
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
        val PROOF_AGE: Duration = InteractiveLimits().observation

        /** Age of the last answer of a replica above which it is asked. */
        val REPLICA_AGE: Duration = InteractiveLimits().observation * 2
    }
}
