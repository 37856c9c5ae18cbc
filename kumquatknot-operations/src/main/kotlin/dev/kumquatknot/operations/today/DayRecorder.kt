package dev.kumquatknot.operations.today

import dev.kumquatknot.core.configuration.Access
import dev.kumquatknot.core.configuration.Repetition
import dev.kumquatknot.core.history.Term
import dev.kumquatknot.core.identity.DatabaseName
import dev.kumquatknot.core.identity.VmName
import dev.kumquatknot.core.outcome.Effect
import dev.kumquatknot.core.outcome.Failure
import dev.kumquatknot.core.outcome.FailureReason
import dev.kumquatknot.core.request.CallerReply
import dev.kumquatknot.core.request.CallerRequest
import dev.kumquatknot.core.request.Work
import dev.kumquatknot.core.time.Clock
import java.time.Instant
import java.time.ZoneOffset
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.time.Duration

/**
 * Counts the requests and failovers of one node by calendar day in UTC, for today's page.
 *
 * Thread-safe: one lock guards all counts and is not held during I/O.
 */
public class DayRecorder(vm: VmName, private val clock: Clock) {
    private val source = SummarySource(vm, clock.instant().toEpochMilli())
    private val lock = ReentrantLock()
    private val days = sortedMapOf<String, DayCounts>()
    private var sequence = 0L

    /** Counts a request that completed with [reply] after [latency]. */
    public fun recordCompletion(request: CallerRequest, reply: CallerReply, latency: Duration) {
        count(request) { kind ->
            kind.recordCompletion(latency, request.kind.targetMillis)
            if (request.kind.access == Access.READ) kind.recordRead(reply.role)
            if (reply.repeated && request.kind.repetition == Repetition.AT_MOST_ONCE) kind.repeated++
            request.idempotencyKeyHash()?.let {
                kind.recordKnownOutcome(it, fromRecord = reply.repeated || request.work is Work.Resolve)
            }
        }
    }

    /** Counts a request that ended with [failure]. */
    public fun recordFailure(request: CallerRequest, failure: Failure) {
        count(request) { kind ->
            when {
                failure.effect == Effect.UNKNOWN ->
                    kind.recordUnknownOutcome(request.idempotencyKeyHash(), failure.reason)

                failure.reason in callerFaults -> kind.callerFaults++
                else -> kind.recordRefusal(failure.reason)
            }
        }
    }

    /** Marks the work with the idempotency key of [request] as resolved: the caller was told that it did not run. */
    public fun recordResolvedAsNotRun(request: CallerRequest) {
        count(request) { kind ->
            request.idempotencyKeyHash()?.let { kind.recordKnownOutcome(it, fromRecord = true) }
        }
    }

    /** Adds the results of checks that read back acknowledged work of the kind [identity]. */
    public fun recordChecks(identity: KindIdentity, results: CheckFigures) {
        lock.withLock { today().kind(identity).checks += results }
    }

    /** Counts a failover of [database] to a primary in [term], after [gap] without service. */
    public fun recordFailover(database: DatabaseName, term: Term, gap: Duration) {
        val at = clock.instant().toEpochMilli()
        lock.withLock { today().failovers += FailoverFigures(database, term.value, gap.inWholeMilliseconds, at) }
    }

    /** Returns the summaries of the days with counts: today and the last day before it that this node counted. */
    public fun summaries(): List<DaySummary> =
        lock.withLock {
            today()
            sequence++
            days.map { (date, counts) -> counts.summary(date) }
        }

    private fun count(request: CallerRequest, update: (KindCounter) -> Unit) {
        lock.withLock { update(today().kind(KindIdentity(request.team, request.kind.name))) }
    }

    private fun today(): DayCounts {
        val counts = days.getOrPut(dateOf(clock.instant())) { DayCounts() }
        while (days.size > RETAINED_DAYS) days.remove(days.firstKey())
        return counts
    }

    private fun DayCounts.summary(date: String): DaySummary =
        DaySummary(
            source,
            date,
            sequence,
            clock.instant().toEpochMilli(),
            kinds.map { (identity, counter) -> KindEntry(identity, counter.figures()) },
            failovers.toList(),
        )

    private class DayCounts {
        val kinds = sortedMapOf<KindIdentity, KindCounter>()
        val failovers = mutableListOf<FailoverFigures>()

        fun kind(identity: KindIdentity): KindCounter = kinds.getOrPut(identity) { KindCounter() }
    }

    public companion object {
        private const val RETAINED_DAYS = 2

        private val callerFaults = setOf(
            FailureReason.INVALID_REQUEST,
            FailureReason.UNAUTHENTICATED,
            FailureReason.FORBIDDEN,
            FailureReason.UNKNOWN_KIND,
            FailureReason.KEY_REQUIRED,
            FailureReason.KEY_REUSED,
            FailureReason.INVALID_TOKEN,
            FailureReason.STATEMENT_FAILED,
            FailureReason.TOO_LARGE,
        )

        /** Returns the calendar day of [instant] in UTC, such as `2027-03-01`. */
        public fun dateOf(instant: Instant): String = instant.atZone(ZoneOffset.UTC).toLocalDate().toString()
    }
}
