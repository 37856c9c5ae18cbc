package dev.kumquatknot.core.databasegroup

import dev.kumquatknot.core.history.HistoryPoint
import dev.kumquatknot.core.history.LogPosition
import dev.kumquatknot.core.history.Term
import dev.kumquatknot.core.identity.MemberName
import dev.kumquatknot.core.time.Clock
import java.util.concurrent.TimeUnit
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.time.Duration

/** Result of waiting for the confirmation of a committed write. */
public enum class Confirmation {
    /** A majority holds the write in the term in which it was committed, so every later primary has it. */
    CONFIRMED,

    /** A majority accepted a later term before the confirmation was observed; the outcome is unknown. */
    SUPERSEDED,

    /** The deadline passed before the confirmation was observed; the outcome is unknown. */
    DEADLINE_PASSED,
}

/** Returns the point up to which a member confirms writes, or null where it confirms none. */
public typealias ConfirmedPoint = (lastEntry: HistoryPoint, acceptedTerm: Term) -> HistoryPoint?

/**
 * Tracks the log positions that the members of one group have confirmed. A write at (T, P) is confirmed when enough
 * members besides its primary have reported that they hold position P or more of term T and have accepted no later
 * term; with the primary they form a [majority].
 *
 * Thread-safe. Lock order: the lock of this class is the last one acquired; nothing is called while it is held.
 *
 * @param onWaiting called when the first write begins to wait.
 */
public class ConfirmationTracker(
    private val majority: Int,
    private val clock: Clock,
    private val confirmedPoint: ConfirmedPoint = ::pointConfirmedBy,
    private val onWaiting: () -> Unit = {},
) {
    private val lock = ReentrantLock()
    private val changed = lock.newCondition()
    private var confirmed: Map<MemberName, Map<Term, LogPosition>> = emptyMap()
    private var accepted: Map<MemberName, Term> = emptyMap()
    private var waiting = 0

    /** Records that [member] had [lastEntry] in its log while [acceptedTerm] was the highest term it had accepted. */
    public fun observe(member: MemberName, lastEntry: HistoryPoint, acceptedTerm: Term): Unit = lock.withLock {
        val known = accepted[member]
        if (known == null || acceptedTerm > known) accepted = accepted + (member to acceptedTerm)
        confirmedPoint(lastEntry, acceptedTerm)?.let { record(member, it) }
        if (waiting > 0) changed.signalAll()
    }

    /** Returns the result for the write that [primary] committed at [point], or null while it is undecided. */
    public fun confirmation(point: HistoryPoint, primary: MemberName): Confirmation? =
        lock.withLock { decide(point, primary) }

    /** Whether [member] is known to hold [point]. */
    public fun isHeldBy(member: MemberName, point: HistoryPoint): Boolean =
        lock.withLock { (confirmed[member]?.get(point.term) ?: NO_POSITION) >= point.position }

    /** Waits until the write that [primary] committed at [point] is decided, or until [deadline] of the clock. */
    public fun await(point: HistoryPoint, primary: MemberName, deadline: Duration): Confirmation {
        confirmation(point, primary)?.let { return it }
        if (lock.withLock { waiting++ } == 0) onWaiting()
        try {
            return lock.withLock { awaitDecision(point, primary, deadline) }
        } finally {
            lock.withLock { waiting-- }
        }
    }

    /** Whether any write waits in [await]. */
    public fun hasWaiting(): Boolean = lock.withLock { waiting > 0 }

    private fun awaitDecision(point: HistoryPoint, primary: MemberName, deadline: Duration): Confirmation {
        while (true) {
            decide(point, primary)?.let { return it }
            val remaining = deadline - clock.elapsed()
            if (!remaining.isPositive()) return Confirmation.DEADLINE_PASSED
            changed.await(remaining.inWholeNanoseconds, TimeUnit.NANOSECONDS)
        }
    }

    private fun decide(point: HistoryPoint, primary: MemberName): Confirmation? {
        val holders = confirmed.count { (member, positions) ->
            member != primary && (positions[point.term] ?: NO_POSITION) >= point.position
        }
        if (holders >= majority - 1) return Confirmation.CONFIRMED
        val membersInLaterTerm = accepted.count { (_, term) -> term > point.term }
        return if (membersInLaterTerm >= majority) Confirmation.SUPERSEDED else null
    }

    private fun record(member: MemberName, point: HistoryPoint) {
        val previous = confirmed[member].orEmpty()
        val known = previous[point.term]
        if (known != null && known >= point.position) return
        val advanced = previous + (point.term to point.position)
        if (known != null) {
            confirmed = confirmed + (member to advanced)
            return
        }
        val retainedTerms = advanced.keys.sortedDescending().take(MAXIMUM_TERMS).toSet()
        confirmed = confirmed + (member to advanced.filterKeys { it in retainedTerms })
    }

    private companion object {
        const val MAXIMUM_TERMS = 4
        val NO_POSITION = LogPosition(-1)
    }
}

/** A member confirms the entries of the term that it has accepted, up to its last entry. */
public fun pointConfirmedBy(lastEntry: HistoryPoint, acceptedTerm: Term): HistoryPoint? =
    lastEntry.takeIf { it.term == acceptedTerm }
