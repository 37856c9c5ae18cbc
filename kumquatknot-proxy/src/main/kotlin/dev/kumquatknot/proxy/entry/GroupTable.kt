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
 * What this VM last learned of a member.
 *
 * @property seenAt moment of the monotonic clock at which [status] arrived.
 * @property failedAt moment at which the member last could not be used, or null.
 */
public data class KnownMember(val status: MemberStatus, val seenAt: Duration, val failedAt: Duration?)

/**
 * What this VM knows of a database group: hints for routing, never proofs.
 *
 * @property primary primary of [term], or null where none is known.
 */
public data class KnownGroup(
    val term: Term = Term(0),
    val primary: MemberName? = null,
    val highestPoint: HistoryPoint = HistoryPoint.START,
    val members: Map<MemberName, KnownMember> = emptyMap(),
)

/**
 * What this VM knows of all database groups that it has dealt with, learned from answers and from other VMs.
 * Thread-safe; its one lock is never held during a call.
 */
internal class GroupTable(private val clock: Clock) {
    private val lock = ReentrantLock()
    private val changed = lock.newCondition()
    private val groups = HashMap<DatabaseName, KnownGroup>()

    /** Returns what is known of [database]. */
    fun group(database: DatabaseName): KnownGroup = lock.withLock { groups[database] ?: KnownGroup() }

    /** Learns from the [status] that came with an answer of [member]. */
    fun learn(database: DatabaseName, member: MemberName, status: MemberStatus) = update(database) { known ->
        val entry = KnownMember(status, clock.elapsed(), known.members[member]?.failedAt)
        known.copy(
            highestPoint = maxOf(known.highestPoint, status.point),
            members = known.members + (member to entry),
        ).withPrimary(status.term, status.primary)
    }

    /** Learns of a primary from another VM. */
    fun learn(record: PrimaryRecord) = update(record.database) { it.withPrimary(record.term, record.primary) }

    /** Learns that [member] could not be used. */
    fun failed(database: DatabaseName, member: MemberName) = update(database) { known ->
        val entry = known.members[member] ?: return@update known
        known.copy(members = known.members + (member to entry.copy(failedAt = clock.elapsed())))
    }

    /** Learns that [member] was used without failure. */
    fun succeeded(database: DatabaseName, member: MemberName) = update(database) { known ->
        val entry = known.members[member]?.takeIf { it.failedAt != null } ?: return@update known
        known.copy(members = known.members + (member to entry.copy(failedAt = null)))
    }

    /** Waits until a primary of a term above [term] is known, at most until [until]. */
    fun awaitNewerPrimary(database: DatabaseName, term: Term, until: Duration) = lock.withLock {
        while ((groups[database]?.term ?: Term(0)) <= term) {
            val left = until - clock.elapsed()
            if (left <= Duration.ZERO) return
            changed.await(left.inWholeNanoseconds, TimeUnit.NANOSECONDS)
        }
    }

    private fun update(database: DatabaseName, change: (KnownGroup) -> KnownGroup) = lock.withLock {
        val before = groups[database] ?: KnownGroup()
        val after = change(before)
        groups[database] = after
        if (after.term > before.term) changed.signalAll()
    }

    private fun KnownGroup.withPrimary(newTerm: Term, newPrimary: MemberName?): KnownGroup =
        if (newPrimary != null && newTerm > term) copy(term = newTerm, primary = newPrimary) else this
}
