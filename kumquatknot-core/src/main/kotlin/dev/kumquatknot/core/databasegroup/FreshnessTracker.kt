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

/** The [primary] of a [term] that a majority of the group still accepted at a given time. */
public data class MajorityPrimary(val term: Term, val primary: MemberName)

/**
 * Tracks the log positions of one group's primary over time, to bound the age of data read from a member. A position
 * that the primary reported in answer to a call sent at time t is proven once a majority has answered calls sent at t
 * or later while in the same term: no later primary existed at t then, so a member that has reached the position holds
 * every write that was acknowledged before t.
 *
 * Thread-safe. Lock order: the lock of this class is the last one acquired; nothing is called while it is held.
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
    private var termContacts: Map<MemberName, TermContact> = emptyMap()
    private var primary: MajorityPrimary? = null
    private var pending: List<Sample> = emptyList()
    private var proven: List<Sample> = emptyList()
    private var waiting = 0

    /** Records the [report] that a member gave in answer to a call sent at [sentAt]. */
    public fun observe(report: MemberReport, sentAt: Duration): Unit = lock.withLock {
        recordTermContact(report, sentAt)
        if (report.servesAsPrimary) recordPrimary(report, sentAt)
        provePending()
        if (waiting > 0) changed.signalAll()
    }

    /** Records that [member] answered a statement sent at [sentAt] while it had accepted [acceptedTerm]. */
    public fun observeTerm(member: MemberName, acceptedTerm: Term, sentAt: Duration): Unit = lock.withLock {
        advanceTermContact(member, acceptedTerm, sentAt)
        provePending()
        if (waiting > 0) changed.signalAll()
    }

    /** Returns the proven upper bound at [now] of the age of data that has reached [point], or null without a proof. */
    public fun provenAge(point: HistoryPoint, now: Duration): Duration? = lock.withLock {
        proven.lastOrNull { point.covers(it.point) }?.let { now - it.sentAt }
    }

    /** Returns the primary whose term a majority still had accepted at the time [since] or later, or null. */
    public fun majorityPrimary(since: Duration): MajorityPrimary? = lock.withLock { majorityPrimarySince(since) }

    /** Waits for the result of [majorityPrimary]; returns null once the clock reaches [deadline]. */
    public fun awaitMajorityPrimary(since: Duration, deadline: Duration): MajorityPrimary? {
        majorityPrimary(since)?.let { return it }
        if (lock.withLock { waiting++ } == 0) onWaiting()
        try {
            return lock.withLock { awaitMajorityPrimarySince(since, deadline) }
        } finally {
            lock.withLock { waiting-- }
        }
    }

    /** Whether any read waits in [awaitMajorityPrimary]. */
    public fun hasWaiting(): Boolean = lock.withLock { waiting > 0 }

    private fun awaitMajorityPrimarySince(since: Duration, deadline: Duration): MajorityPrimary? {
        while (true) {
            majorityPrimarySince(since)?.let { return it }
            val remaining = deadline - clock.elapsed()
            if (!remaining.isPositive()) return null
            changed.await(remaining.inWholeNanoseconds, TimeUnit.NANOSECONDS)
        }
    }

    private fun majorityPrimarySince(since: Duration): MajorityPrimary? =
        primary?.takeIf { majorityFollows(it.term, since) }

    private fun majorityFollows(term: Term, since: Duration): Boolean =
        termContacts.values.count { it.term == term && it.sentAt >= since } >= majority

    private fun recordTermContact(report: MemberReport, sentAt: Duration) =
        advanceTermContact(report.member, report.acceptedTerm, sentAt)

    private fun advanceTermContact(member: MemberName, term: Term, sentAt: Duration) {
        val known = termContacts[member]
        val newer = known == null || term > known.term || (term == known.term && sentAt > known.sentAt)
        if (newer) termContacts = termContacts + (member to TermContact(term, sentAt))
    }

    private fun recordPrimary(report: MemberReport, sentAt: Duration) {
        val known = primary
        if (known == null || report.acceptedTerm > known.term) {
            primary = MajorityPrimary(report.acceptedTerm, report.member)
        }
        pending = (pending + Sample(report.lastEntry, sentAt)).takeLast(MAXIMUM_PENDING_SAMPLES)
    }

    private fun provePending() {
        val (provable, unproven) = pending.partition { majorityFollows(it.point.term, it.sentAt) }
        pending = unproven
        provable.forEach(::addProven)
    }

    private fun addProven(sample: Sample) {
        val dominated = proven.any { sample.point.covers(it.point) && it.sentAt >= sample.sentAt }
        if (dominated) return
        val rest = proven.filterNot { it.point.covers(sample.point) && it.sentAt <= sample.sentAt }
        proven = thinned((rest + sample).sortedBy { it.sentAt })
    }

    /** Drops the sample whose neighbours are closest relative to its age, so that gaps grow in proportion to age. */
    private fun thinned(samples: List<Sample>): List<Sample> {
        if (samples.size <= MAXIMUM_PROVEN_SAMPLES) return samples
        val newest = samples.last().sentAt
        val dropped = (1 until samples.lastIndex).minBy { index ->
            val gap = samples[index + 1].sentAt - samples[index - 1].sentAt
            gap / (newest - samples[index].sentAt + AGE_RESOLUTION)
        }
        return samples.filterIndexed { index, _ -> index != dropped }
    }

    private data class TermContact(val term: Term, val sentAt: Duration)

    private data class Sample(val point: HistoryPoint, val sentAt: Duration)

    private companion object {
        const val MAXIMUM_PROVEN_SAMPLES = 256
        const val MAXIMUM_PENDING_SAMPLES = 64
        val AGE_RESOLUTION = 100.milliseconds
    }
}
