package dev.kumquatknot.standin.database

import dev.kumquatknot.core.identity.MemberName
import dev.kumquatknot.core.time.Clock
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.time.Duration

/** What one pull of a replica did, and how long the next entry stays hidden from it; null where there is none. */
internal class PullResult(val applied: Int, val nextEntryIn: Duration?)

/** Moves log entries from primaries to their replicas, each no earlier than commit, latency and lag allow. */
internal class Replication(
    private val members: Map<MemberName, GroupMember>,
    private val timing: DatabaseTiming,
    private val clock: Clock,
) {
    private val pulls = members.mapValues { ReentrantLock() }

    /** Lets [replica] take over what is visible to it now, or everything where not [delayed]. */
    fun pull(replica: GroupMember, delayed: Boolean = true): PullResult = pulls.getValue(replica.name).withLock {
        val state = replica.replicaState()
        val primary = state?.let { members[it.primary] }
        if (primary == null || !replica.faults.reachableByMembers || !primary.faults.reachableByMembers) return NOTHING
        val page = primary.page(state) ?: return NOTHING
        val delay = replica.faults.replicationLag +
            timing.latency(primary.configuration.dataCentre, replica.configuration.dataCentre)
        val visible = page.entries.takeWhile { !delayed || it.committedAt + delay <= clock.elapsed() }
        val hidden = page.entries.getOrNull(visible.size)
        val applied = replica.take(state, LogPage(page.commonPosition, visible))
        PullResult(applied, hidden?.let { (it.committedAt + delay - clock.elapsed()).coerceAtLeast(Duration.ZERO) })
    }

    private companion object {
        val NOTHING = PullResult(0, null)
    }
}
