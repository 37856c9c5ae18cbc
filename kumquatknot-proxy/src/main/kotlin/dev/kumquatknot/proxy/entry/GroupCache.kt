package dev.kumquatknot.proxy.entry

import dev.kumquatknot.core.history.HistoryPoint
import dev.kumquatknot.core.history.Term
import dev.kumquatknot.core.identity.DatabaseName
import dev.kumquatknot.core.identity.MemberName
import dev.kumquatknot.core.time.Clock
import dev.kumquatknot.proxy.peer.PrimaryRecord
import dev.kumquatknot.proxy.relay.MemberStatus
import java.util.concurrent.TimeUnit
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.time.Duration

/**
 * Last observed state of a member.
 *
 * @property statusReceivedAt time of the monotonic clock at which [status] arrived.
 * @property lastFailureAt time of the last failed use of the member, or null if it has been used successfully since.
 */
public data class CachedMember(val status: MemberStatus, val statusReceivedAt: Duration, val lastFailureAt: Duration?)

/**
 * Last observed state of a database group. It is a hint for routing and may be outdated, so that no guarantee may
 * rest on it.
 *
 * @property primary primary of [term], or null if none is known.
 */
public data class CachedGroup(
    val term: Term = Term(0),
    val primary: MemberName? = null,
    val highestPoint: HistoryPoint = HistoryPoint.START,
    val members: Map<MemberName, CachedMember> = emptyMap(),
)

/**
 * Caches the state of database groups, as observed in answers of members and received from other VMs.
 * Thread-safe; its lock is never held during a call to another component.
 */
internal class GroupCache(private val clock: Clock) {
    private val lock = ReentrantLock()
    private val termAdvanced = lock.newCondition()
    private val groups = HashMap<DatabaseName, CachedGroup>()

    /** Returns the cached state of [database], which is empty for a group that has not been observed yet. */
    fun group(database: DatabaseName): CachedGroup = lock.withLock { groups[database] ?: CachedGroup() }

    /** Stores the [status] that came with an answer of [member]. */
    fun recordStatus(database: DatabaseName, member: MemberName, status: MemberStatus) = update(database) { cached ->
        val updatedMember = CachedMember(status, clock.elapsed(), cached.members[member]?.lastFailureAt)
        cached.copy(
            highestPoint = maxOf(cached.highestPoint, status.point),
            members = cached.members + (member to updatedMember),
        ).withPrimary(status.term, status.primary)
    }

    /** Stores a primary that another VM has reported, if its term is newer. */
    fun recordPrimary(record: PrimaryRecord) = update(record.database) { it.withPrimary(record.term, record.primary) }

    /** Records that a use of [member] failed now, so that routing avoids it for a while. */
    fun recordFailure(database: DatabaseName, member: MemberName) = update(database) { cached ->
        val updatedMember = cached.members[member] ?: return@update cached
        cached.copy(members = cached.members + (member to updatedMember.copy(lastFailureAt = clock.elapsed())))
    }

    /** Clears the failure of [member] after a successful use. */
    fun recordSuccess(database: DatabaseName, member: MemberName) = update(database) { cached ->
        val updatedMember = cached.members[member]?.takeIf { it.lastFailureAt != null } ?: return@update cached
        cached.copy(members = cached.members + (member to updatedMember.copy(lastFailureAt = null)))
    }

    /** Blocks until a primary of a term above [term] is known or the time [until] has come. */
    fun awaitNewerPrimary(database: DatabaseName, term: Term, until: Duration) = lock.withLock {
        while ((groups[database]?.term ?: Term(0)) <= term) {
            val remaining = until - clock.elapsed()
            if (remaining <= Duration.ZERO) return
            termAdvanced.await(remaining.inWholeNanoseconds, TimeUnit.NANOSECONDS)
        }
    }

    private fun update(database: DatabaseName, change: (CachedGroup) -> CachedGroup) = lock.withLock {
        val before = groups[database] ?: CachedGroup()
        val after = change(before)
        groups[database] = after
        if (after.term > before.term) termAdvanced.signalAll()
    }

    private fun CachedGroup.withPrimary(newTerm: Term, newPrimary: MemberName?): CachedGroup =
        if (newPrimary != null && newTerm > term) copy(term = newTerm, primary = newPrimary) else this
}
