package dev.kumquatknot.core.databasegroup

import dev.kumquatknot.core.history.HistoryPoint
import dev.kumquatknot.core.identity.MemberName
import kotlin.time.Duration

/**
 * How a group's commits are acknowledged, as far as it is known.
 *
 * @property synchronousReplicas number of replicas that must have received a commit before the primary acknowledges it;
 * 0 if it acknowledges without them.
 * @property replicated the highest point that any replica was seen to have received; null if none was seen.
 */
public data class ObservedReplication(val synchronousReplicas: Int = 0, val replicated: HistoryPoint? = null)

/**
 * Selects the member to promote.
 *
 * In a group without synchronous replication it is the replica with the longest known log. A replica without a recent
 * report is waited for, but not for long: it may be lost, and acknowledged commits may be as well.
 *
 * With synchronous replication, an acknowledged commit is in the logs of the primary and of `n` replicas. Of any set of
 * members that lacks at most `n` members of the group, at least one holds it. So a member may be promoted once that
 * many, itself included, are known to have received no more than it has. Who holds more cannot be told from an answer
 * without a report, from silence, or from a report that was asked for before the primary was lost: such a member is
 * waited for as long as discovery lists it.
 */
public class PromotionCandidates(private val timing: FailoverTiming) {
    /**
     * Returns the member to promote at [now] in place of [primary], or null if none may be promoted yet.
     *
     * @param members all members that discovery lists.
     * @param reasonSince time since which the [reason] for a failover holds.
     */
    public fun choose(
        members: List<ObservedMember>,
        primary: MemberName?,
        reason: FailoverReason,
        reasonSince: Duration,
        now: Duration,
        replication: ObservedReplication,
    ): ObservedMember? {
        val replicas = members.filter { it.name != primary }
        return if (replication.synchronousReplicas > 0) {
            chooseComplete(members, replicas, members.firstOrNull { it.name == primary }, reasonSince, replication)
        } else {
            chooseLongest(replicas.filter { !it.leaving }, reason, now - reasonSince, now)
        }
    }

    /**
     * Whether [primary] may be silent only because its commits wait for [replicas]: they keep its slots in use, so that
     * it serves no connection, but its address still accepts some.
     */
    public fun mayWait(
        primary: ObservedMember,
        replicas: List<ObservedMember>,
        now: Duration,
        replication: ObservedReplication,
    ): Boolean {
        val following = replicas.count { it.failingSince == null && it.hasReceivedAllOf(primary) }
        val isThere = primary.acceptedAt?.let { now - it <= timing.acceptanceAge } ?: false
        return isThere && following < replication.synchronousReplicas
    }

    private fun ObservedMember.hasReceivedAllOf(primary: ObservedMember): Boolean =
        primary.received == null || received?.covers(primary.received) ?: false

    private fun chooseLongest(
        replicas: List<ObservedMember>,
        reason: FailoverReason,
        waited: Duration,
        now: Duration,
    ): ObservedMember? {
        val isReportMissing = replicas.any { mayReportSoon(it, now) }
        if (isReportMissing && waited < timing.reportWait) return null
        val reporting = replicas.filter { hasRecentReport(it, now) }
        if (reason == FailoverReason.REPLICATION_STALLED && reporting.size < REPLICAS_AFTER_STALL) return null
        if (reporting.isEmpty()) return null
        return replicas.filter { it.failingSince == null && it.received != null }
            .maxWithOrNull(byReceived.thenBy { hasRecentReport(it, now) }.thenBy { it.name })
    }

    private fun chooseComplete(
        members: List<ObservedMember>,
        replicas: List<ObservedMember>,
        primary: ObservedMember?,
        reasonSince: Duration,
        replication: ObservedReplication,
    ): ObservedMember? {
        val needed = maxOf(members.size, GROUP_SIZE) - replication.synchronousReplicas
        return replicas.filter { it.failingSince == null && it.received != null }
            .filter { candidate ->
                val covered = members.count { it === candidate || isCovered(it, candidate, reasonSince) }
                val isBehind = replication.replicated?.let { candidate.received?.covers(it) == false } ?: false
                val follows = primary == null || primary.failingSince != null || candidate.follows(primary, reasonSince)
                // Where nobody else is left that might hold more, waiting would not bring anything back.
                covered == members.size || covered >= needed && !isBehind && follows
            }
            .maxWithOrNull(compareBy<ObservedMember> { !it.leaving }.then(byReceived).thenBy { it.name })
    }

    /** Whether this replica still receives what [primary] commits, which goes on until the promotion takes effect. */
    private fun ObservedMember.follows(primary: ObservedMember, reasonSince: Duration): Boolean {
        val report = primary.report?.takeIf { it.requestedAt >= reasonSince }
        return if (report == null) hasReceivedAllOf(primary) else received?.covers(report.received) ?: false
    }

    /** Whether [member] has reported since the primary was lost that it has received no more than [candidate]. */
    private fun isCovered(member: ObservedMember, candidate: ObservedMember, reasonSince: Duration): Boolean {
        val report = member.report?.takeIf { it.requestedAt >= reasonSince } ?: return false
        return candidate.received?.covers(report.received) ?: false
    }

    private fun hasRecentReport(member: ObservedMember, now: Duration) =
        member.failingSince == null && member.report?.let { now - it.answeredAt <= timing.maximumReportAge } ?: false

    private fun mayReportSoon(member: ObservedMember, now: Duration) =
        !hasRecentReport(member, now) &&
            member.failures < FailoverDecision.MINIMUM_FAILURES &&
            member.answeredAt != null

    private companion object {
        /** Members of a group; fewer are listed while some are lost, and these may hold acknowledged commits. */
        const val GROUP_SIZE = 3

        /**
         * Replicas that must report before a primary that still answers is replaced: a single one may lack commits that
         * another replica has confirmed, and the primary itself would lose them.
         */
        const val REPLICAS_AFTER_STALL = 2

        val byReceived: Comparator<ObservedMember> = compareBy { it.received }
    }
}
