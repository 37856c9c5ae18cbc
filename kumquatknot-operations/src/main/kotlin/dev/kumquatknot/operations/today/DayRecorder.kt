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
 * Counts what one node serves, for today's page. Days are those of UTC.
 *
 * Safe for use by many threads: one lock guards all counts and is held for no call to the outside.
 */
public class DayRecorder(vm: VmName, private val clock: Clock) {
    private val source = SummarySource(vm, clock.instant().toEpochMilli())
    private val lock = ReentrantLock()
    private val days = sortedMapOf<String, DayCounts>()
    private var sequence = 0L

    /** Counts a request that was answered with [reply] after [latency]. */
    public fun recordCompletion(request: CallerRequest, reply: CallerReply, latency: Duration) {
        count(request) { kind ->
            kind.complete(latency, request.kind.targetMillis)
            if (request.kind.access == Access.READ) kind.countRead(reply.role)
            if (reply.repeated && request.kind.repetition == Repetition.AT_MOST_ONCE) kind.repeated++
            request.keyHash()?.let { kind.settle(it, told = reply.repeated || request.work is Work.Resolve) }
        }
    }

    /** Counts a request that ended with [failure]. */
    public fun failed(request: CallerRequest, failure: Failure) {
        count(request) { kind ->
            when {
                failure.effect == Effect.UNKNOWN -> kind.leaveOpen(request.keyHash(), failure.reason)
                failure.reason in callerFaults -> kind.callerFaults++
                else -> kind.refuse(failure.reason)
            }
        }
    }

    /** Notes that the outcome of the work with the key of [request] was told as not run. */
    public fun recordResolvedAsNotRun(request: CallerRequest) {
        count(request) { kind -> request.keyHash()?.let { kind.settle(it, told = true) } }
    }

    /** Adds results of checks that read back acknowledged work of the kind of [identity]. */
    public fun recordChecks(identity: KindIdentity, results: CheckFigures) {
        lock.withLock { today().kind(identity).checks += results }
    }

    /** Counts a change of primary of [database] to [term] after [gap] without service. */
    public fun recordFailover(database: DatabaseName, term: Term, gap: Duration) {
        val at = clock.instant().toEpochMilli()
        lock.withLock { today().failovers += FailoverFigures(database, term.value, gap.inWholeMilliseconds, at) }
    }

    /** Returns the summaries of today and, shortly after midnight, of yesterday. */
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
        while (days.size > KEPT_DAYS) days.remove(days.firstKey())
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
        private const val KEPT_DAYS = 2

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
