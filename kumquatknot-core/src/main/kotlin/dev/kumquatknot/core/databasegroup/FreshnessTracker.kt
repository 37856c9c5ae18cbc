package dev.kumquatknot.core.databasegroup

import dev.kumquatknot.core.history.HistoryPoint
import dev.kumquatknot.core.history.Term
import dev.kumquatknot.core.identity.MemberName
import dev.kumquatknot.core.member.MemberReport
import dev.kumquatknot.core.time.Clock
import java.util.concurrent.TimeUnit
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** A primary that a majority still followed at a given time. */
public data class MajorityPrimary(val term: Term, val primary: MemberName)

/**
 * Table of the primary's positions over time, one to a group. A position that the primary reported to a call sent at
 * time t proves an age once a majority has answered calls sent at t or later from the same term: then no later primary
 * existed at t, and a member that has reached the position holds every write acknowledged before t.
 *
 * Thread-safe. Lock order: the table's own lock is the last one taken; nothing is called while it is held.
 *
 * @param onWaiting called when the first read begins to wait.
 */
public class FreshnessTracker(
    private val majority: Int,
    private val clock: Clock,
    private val onWaiting: () -> Unit = {},
) {
    private val lock = ReentrantLock()
    private val changed = lock.newCondition()
    private var stands: Map<MemberName, Stand> = emptyMap()
    private var primary: MajorityPrimary? = null
    private var pending: List<Sample> = emptyList()
    private var proven: List<Sample> = emptyList()
    private var waiting = 0

    /** Records the answer to a call sent at [sentAt]. */
    public fun observe(report: MemberReport, sentAt: Duration): Unit = lock.withLock {
        recordStand(report, sentAt)
        if (report.servesAsPrimary) recordPrimary(report, sentAt)
        provePending()
        if (waiting > 0) changed.signalAll()
    }

    /** Records that [member] answered a statement sent at [sentAt] while it had accepted [acceptedTerm]. */
    public fun observeTerm(member: MemberName, acceptedTerm: Term, sentAt: Duration): Unit = lock.withLock {
        advanceStand(member, acceptedTerm, sentAt)
        provePending()
        if (waiting > 0) changed.signalAll()
    }

    /** Returns an age that data at [point] surely does not exceed at the time [now], or null where none is proved. */
    public fun provenAge(point: HistoryPoint, now: Duration): Duration? = lock.withLock {
        proven.lastOrNull { point.covers(it.point) }?.let { now - it.sentAt }
    }

    /** Returns the primary that a majority still followed at the time [since] or later, or null. */
    public fun standing(since: Duration): MajorityPrimary? = lock.withLock { standingSince(since) }

    /** Waits until a majority is seen to follow the primary at [since] or later; null at [deadline] of the clock. */
    public fun awaitStanding(since: Duration, deadline: Duration): MajorityPrimary? {
        standing(since)?.let { return it }
        if (lock.withLock { waiting++ } == 0) onWaiting()
        try {
            return lock.withLock { awaitStandingSince(since, deadline) }
        } finally {
            lock.withLock { waiting-- }
        }
    }

    /** Whether any read waits in [awaitStanding]. */
    public fun hasWaiting(): Boolean = lock.withLock { waiting > 0 }

    private fun awaitStandingSince(since: Duration, deadline: Duration): MajorityPrimary? {
        while (true) {
            standingSince(since)?.let { return it }
            val left = deadline - clock.elapsed()
            if (!left.isPositive()) return null
            changed.await(left.inWholeNanoseconds, TimeUnit.NANOSECONDS)
        }
    }

    private fun standingSince(since: Duration): MajorityPrimary? =
        primary?.takeIf { majoritySeenIn(it.term, since) }

    private fun majoritySeenIn(term: Term, since: Duration): Boolean =
        stands.values.count { it.term == term && it.sentAt >= since } >= majority

    private fun recordStand(report: MemberReport, sentAt: Duration) =
        advanceStand(report.member, report.acceptedTerm, sentAt)

    private fun advanceStand(member: MemberName, term: Term, sentAt: Duration) {
        val known = stands[member]
        val newer = known == null || term > known.term || (term == known.term && sentAt > known.sentAt)
        if (newer) stands = stands + (member to Stand(term, sentAt))
    }

    private fun recordPrimary(report: MemberReport, sentAt: Duration) {
        val known = primary
        if (known == null || report.acceptedTerm > known.term) {
            primary = MajorityPrimary(report.acceptedTerm, report.member)
        }
        pending = (pending + Sample(report.lastEntry, sentAt)).takeLast(PENDING_KEPT)
    }

    private fun provePending() {
        val (provable, open) = pending.partition { majoritySeenIn(it.point.term, it.sentAt) }
        pending = open
        provable.forEach(::keep)
    }

    private fun keep(sample: Sample) {
        val better = proven.any { sample.point.covers(it.point) && it.sentAt >= sample.sentAt }
        if (better) return
        val rest = proven.filterNot { it.point.covers(sample.point) && it.sentAt <= sample.sentAt }
        proven = thinned((rest + sample).sortedBy { it.sentAt })
    }

    /** Drops the sample whose neighbours are closest for their age, so that distances grow in proportion to age. */
    private fun thinned(samples: List<Sample>): List<Sample> {
        if (samples.size <= PROVEN_KEPT) return samples
        val newest = samples.last().sentAt
        val dropped = (1 until samples.lastIndex).minBy { index ->
            val gap = samples[index + 1].sentAt - samples[index - 1].sentAt
            gap / (newest - samples[index].sentAt + FINEST_AGE)
        }
        return samples.filterIndexed { index, _ -> index != dropped }
    }

    private data class Stand(val term: Term, val sentAt: Duration)

    private data class Sample(val point: HistoryPoint, val sentAt: Duration)

    private companion object {
        const val PROVEN_KEPT = 256
        const val PENDING_KEPT = 64
        val FINEST_AGE = 100.milliseconds
    }
}
