package dev.kumquatknot.standin.database

import dev.kumquatknot.core.identity.MemberName
import dev.kumquatknot.core.time.Clock
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.time.Duration

/**
 * Result of one pull of a replica.
 *
 * @property applied number of log entries that were applied.
 * @property nextEntryDelay time until the next entry becomes visible to the replica; null if there is none.
 */
internal class PullResult(val applied: Int, val nextEntryDelay: Duration?)

/**
 * Copies log entries from primaries to their replicas. An entry becomes visible to a replica once the latency between
 * their data centres and the lag of the replica have passed since its commit.
 */
internal class LogReplicator(
    private val members: Map<MemberName, GroupMember>,
    private val timing: DatabaseTiming,
    private val clock: Clock,
) {
    private val pullLocks = members.mapValues { ReentrantLock() }

    /** Applies the entries that are visible to [replica] now, or all entries if not [delayed]. */
    fun pull(replica: GroupMember, delayed: Boolean = true): PullResult = pullLocks.getValue(replica.name).withLock {
        val state = replica.replicaState()
        val primary = state?.let { members[it.primary] }
        if (primary == null || !replica.faults.reachableByMembers || !primary.faults.reachableByMembers) return NONE
        val page = primary.page(state) ?: return NONE
        val delay = replica.faults.replicationLag +
            timing.latency(primary.configuration.dataCentre, replica.configuration.dataCentre)
        val visible = page.entries.takeWhile { !delayed || it.committedAt + delay <= clock.elapsed() }
        val hidden = page.entries.getOrNull(visible.size)
        val applied = replica.applyPage(state, LogPage(page.commonPosition, visible))
        PullResult(applied, hidden?.let { (it.committedAt + delay - clock.elapsed()).coerceAtLeast(Duration.ZERO) })
    }

    private companion object {
        val NONE = PullResult(0, null)
    }
}
