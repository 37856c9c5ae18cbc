package dev.kumquatknot.proxy.interactive

import dev.kumquatknot.core.identity.DatabaseName
import dev.kumquatknot.core.interactive.MemberCommand
import dev.kumquatknot.proxy.metric.PollPurpose
import dev.kumquatknot.proxy.pool.BatchResult
import dev.kumquatknot.proxy.pool.MemberPool
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Polls members whose replies to statements are not recent enough: the primary for proofs of freshness, replicas for
 * the ends of their logs. While a primary is suspected, all members are polled, so that its successor is found soon.
 */
internal class GroupPoller(
    private val environment: NodeEnvironment,
    private val isHome: (DatabaseName) -> Boolean,
    private val onFailure: () -> Unit,
) {
    private val pendingPolls = HashSet<MemberPool>()

    /**
     * Polls the members of [group] that are due; a VM that [decides] failovers polls the primary more often. Returns
     * the time of the next due poll.
     */
    fun poll(group: GroupPools, decides: Boolean): Duration {
        if (!polls(group, decides)) {
            group.pauseObservation()
            return Duration.INFINITE
        }
        group.resumeObservation()
        val now = environment.now()
        val suspected = group.isPrimarySuspected(now)
        group.all.forEach { pool ->
            val needed = suspected || now >= dueTime(group, pool, decides)
            if (needed && isWorthwhile(pool, decides) && pool !in pendingPolls) {
                environment.metrics.memberPolled(purposeOf(group, pool, suspected))
                sendPoll(pool, pollCommands(group, pool, decides, suspected))
            }
        }
        // Work of callers changes what is due at any time.
        return if (decides || suspected || group.isInUse) now else nextDueTime(group, decides)
    }

    private fun purposeOf(group: GroupPools, pool: MemberPool, suspected: Boolean): PollPurpose = when {
        suspected -> PollPurpose.SUSPICION
        group.leads(pool) -> PollPurpose.PROOF
        else -> PollPurpose.REPLICA
    }

    /** Other VMs than the home VM learn of a change of the primary when they use the group. */
    private fun polls(group: GroupPools, decides: Boolean): Boolean =
        decides || group.isInUse || isHome(group.group) || group.confirmer.stalledSince != null

    private fun isWorthwhile(pool: MemberPool, decides: Boolean): Boolean = decides || pool.mayPoll

    private fun nextDueTime(group: GroupPools, decides: Boolean): Duration = group.all
        .filter { isWorthwhile(it, decides) && it !in pendingPolls }
        .minOfOrNull { dueTime(group, it, decides) } ?: Duration.INFINITE

    private fun dueTime(group: GroupPools, pool: MemberPool, decides: Boolean): Duration {
        val leads = group.leads(pool)
        val since = if (leads) group.proofs.latestProofRequestedAt else pool.health.answeredAt
        val limit = when {
            decides -> if (leads) DECIDER_PROOF_AGE else DECIDER_REPLICA_AGE
            !leads -> REPLICA_AGE
            group.needsFrequentProofs -> FREQUENT_PROOF_AGE
            else -> PROOF_AGE
        }
        val isUnproved = leads && !group.belief.isProved
        val isDue = since == null || isUnproved || pool.health.failures > 0
        return if (isDue) -Duration.INFINITE else since + limit + RESOLUTION
    }

    /**
     * An accepted read-write transaction proves that the member leads and a refused one that it does not, without using
     * a slot of the member. A report adds the connection count, and the received log position for failover decisions;
     * while a primary is suspected, a new one has to be found that has no slot for a report, too.
     */
    private fun pollCommands(
        group: GroupPools,
        pool: MemberPool,
        decides: Boolean,
        suspected: Boolean,
    ): List<MemberCommand> {
        val reportedAt = pool.health.report?.answeredAt
        val leads = group.belief.isProved && group.leads(pool) && pool.leavingSince == null
        val isReportRecent = reportedAt != null && environment.now() - reportedAt < REPORT_AGE
        return when {
            isReportRecent && (leads || !decides) -> LEAD
            suspected -> REPORT + LEAD
            else -> REPORT
        }
    }

    private fun GroupPools.isPrimarySuspected(now: Duration): Boolean {
        val primary = primaryPool ?: return true
        val provedAt = proofs.latestProofRequestedAt
        val isUnanswered = primary in pendingPolls && (provedAt == null || now - provedAt > SUSPICION_AGE)
        return primary.leavingSince != null || primary.health.failures > 0 || belief.isDisproved || isUnanswered
    }

    private fun sendPoll(pool: MemberPool, pollCommands: List<MemberCommand>) {
        pendingPolls += pool
        pool.acquireLink { link ->
            if (link == null) {
                pendingPolls -= pool
                val now = environment.now()
                // If all connections that the member allows are in use, the missing connection is not a
                // failure of the member.
                val openingFor = pool.openingSince?.let { now - it }
                val unanswered = openingFor != null && openingFor >= environment.limits.reportTimeout
                if (unanswered) pool.health.recordFailure(now, refused = false)
                onFailure()
                return@acquireLink
            }
            link.run(pollCommands, environment.limits.reportTimeout) { result ->
                pendingPolls -= pool
                when (result) {
                    is BatchResult.Answered -> pool.releaseLink(link)
                    is BatchResult.Broken -> {
                        pool.health.recordFailure(environment.now(), refused = false)
                        onFailure()
                    }
                }
            }
        }
    }

    private companion object {
        val REPORT = listOf(MemberCommand.Report)
        val LEAD = listOf(MemberCommand.Begin(readOnly = false), MemberCommand.Rollback)

        /** A proof or an answer is due for renewal as soon as it is older than its limit. */
        val RESOLUTION = 1.milliseconds

        /** Age of the newest proof above which the primary is polled; well below the staleness that routes allow. */
        val PROOF_AGE: Duration = 800.milliseconds

        /** The same while replicas lag: with more proofs, replicas that are further behind may serve. */
        val FREQUENT_PROOF_AGE: Duration = 400.milliseconds

        /** The same on a VM that decides failovers, which must detect a loss soon. */
        val DECIDER_PROOF_AGE: Duration = 200.milliseconds

        /** Age of the newest proof above which a primary that owes the answer to a poll is suspected. */
        val SUSPICION_AGE: Duration = 800.milliseconds

        /** Age up to which a reported connection count is accurate enough to open more connections. */
        val REPORT_AGE: Duration = 3.seconds

        /** Age of a replica's last answer above which it is polled; reads detect a failed replica sooner. */
        val REPLICA_AGE: Duration = 8.seconds

        /** The same on a VM that decides failovers, which must know what replicas have received. */
        val DECIDER_REPLICA_AGE: Duration = 2.seconds
    }
}
