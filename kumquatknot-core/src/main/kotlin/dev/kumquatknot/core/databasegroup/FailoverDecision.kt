package dev.kumquatknot.core.databasegroup

import dev.kumquatknot.core.history.HistoryPoint
import dev.kumquatknot.core.history.Term
import dev.kumquatknot.core.identity.MemberName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Observed state of one member of a group when a failover is decided.
 *
 * @property leaving whether its backend server is leaving the group.
 * @property answeredAt time of its last answer; null where it never answered.
 * @property failingSince time since which every request to it has failed; null where the last one was answered.
 * @property failures consecutive failed requests, each on a connection of its own.
 * @property refusing whether its address refuses connections, as after a crash of the process.
 * @property acceptedAt time at which its address last accepted a connection, whether or not the member served it.
 * @property received end of the log that it is known to have received; it may have received more.
 * @property report its last report; null where there is none.
 */
public data class ObservedMember(
    val name: MemberName,
    val leaving: Boolean,
    val answeredAt: Duration?,
    val failingSince: Duration?,
    val failures: Int,
    val refusing: Boolean,
    val received: HistoryPoint?,
    val report: ReceivedReport?,
    val acceptedAt: Duration? = null,
)

/**
 * Report of a member, asked for at [requestedAt] and answered at [answeredAt], that its log ended at [received].
 *
 * @property leads whether the member saw itself as the primary.
 * @property term the member's term.
 * @property held term in which the member was told to stop receiving commits; 0 if it never was, or was told to resume.
 */
public data class ReceivedReport(
    val received: HistoryPoint,
    val requestedAt: Duration,
    val answeredAt: Duration,
    val leads: Boolean = false,
    val term: Term = received.term,
    val held: Term = Term(0),
) {
    /** Whether the member was told to stop receiving commits and has received none of a later term since. */
    val isPaused: Boolean get() = held > minOf(term, received.term)
}

/** Why a promotion is ordered. */
public enum class FailoverReason {
    PRIMARY_SILENT,
    PRIMARY_REFUSING,
    PRIMARY_LEAVING,
    REPLICATION_STALLED,
    NO_PRIMARY,
}

/** Order to promote [candidate], whose log is known to have reached [received]. */
public data class FailoverOrder(val candidate: MemberName, val received: HistoryPoint, val reason: FailoverReason)

/**
 * Decides when one group needs a new primary and which member to promote; see [PromotionCandidates] for the latter.
 *
 * Confined to one thread.
 */
public class FailoverDecision(private val timing: FailoverTiming = FailoverTiming()) {
    private val candidates = PromotionCandidates(timing)
    private var orderedCandidate: MemberName? = null
    private var lastOrderAt = Duration.ZERO
    private var noPrimarySince: Duration? = null
    private var reasonSince: Duration? = null
    private var lastStallOrderAt = -Duration.INFINITE

    /** Why a new primary is needed while no member may be promoted yet; null if none is needed or one was ordered. */
    public var unmetReason: FailoverReason? = null
        private set

    /** Records that the promotion of [candidate] was ordered at [now]. */
    public fun recordOrder(candidate: MemberName, now: Duration) {
        orderedCandidate = candidate
        lastOrderAt = now
    }

    /** Whether an order was given that may still take effect in its time at [now]. */
    public fun isOrderPending(now: Duration): Boolean =
        orderedCandidate != null && now - lastOrderAt < timing.orderTimeout

    /** Clears the current order, which was refused or is no longer needed. */
    public fun clearOrder() {
        orderedCandidate = null
    }

    /**
     * Returns the order to give at [now], or null.
     *
     * @param proved whether [primary] has proved its role.
     * @param replicationStalledSince time since which no replica has received what the primary commits; null if one
     * has.
     * @param replication how commits of the group are acknowledged.
     */
    public fun decide(
        members: List<ObservedMember>,
        primary: MemberName?,
        proved: Boolean,
        now: Duration,
        replicationStalledSince: Duration? = null,
        replication: ObservedReplication = ObservedReplication(),
    ): FailoverOrder? {
        unmetReason = null
        if (orderedCandidate == primary && proved) orderedCandidate = null
        if (isOrderPending(now)) return null
        val current = members.firstOrNull { it.name == primary }
        val waits = current != null && candidates.mayWait(current, members - current, now, replication)
        val reason = reasonFor(current, proved, waits, now) ?: stallReason(replicationStalledSince, now)
        val since = if (reason == null) null else reasonSince ?: now
        reasonSince = since
        if (reason == null || since == null) return null
        val chosen = candidates.choose(members, primary, reason, since, now, replication)
        if (chosen != null && reason == FailoverReason.REPLICATION_STALLED) lastStallOrderAt = now
        unmetReason = reason.takeIf { chosen == null }
        return chosen?.received?.let { FailoverOrder(chosen.name, it, reason) }
    }

    /**
     * A primary that no replica can follow commits what nobody may acknowledge. Another order soon after would not
     * help, as then the replicas themselves receive nothing.
     */
    private fun stallReason(since: Duration?, now: Duration): FailoverReason? {
        val isStalled = since != null && now - since > timing.stallTimeout
        return FailoverReason.REPLICATION_STALLED.takeIf {
            isStalled && now - lastStallOrderAt > timing.stallOrderInterval
        }
    }

    private fun reasonFor(
        primary: ObservedMember?,
        proved: Boolean,
        waits: Boolean,
        now: Duration,
    ): FailoverReason? {
        if (primary == null) {
            val since = noPrimarySince ?: now.also { noPrimarySince = it }
            return FailoverReason.NO_PRIMARY.takeIf { now - since > timing.noPrimaryTimeout }
        }
        if (proved) noPrimarySince = null
        return if (primary.leaving) FailoverReason.PRIMARY_LEAVING else failureReason(primary, waits, now)
    }

    private fun failureReason(primary: ObservedMember, waits: Boolean, now: Duration): FailoverReason? {
        val failingFor = primary.failingSince?.let { now - it } ?: return null
        val silenceTimeout = if (waits) timing.waitingTimeout else timing.silenceTimeout
        return when {
            primary.failures < MINIMUM_FAILURES -> null
            primary.refusing && failingFor > timing.refusalTimeout -> FailoverReason.PRIMARY_REFUSING
            failingFor > silenceTimeout -> FailoverReason.PRIMARY_SILENT
            else -> null
        }
    }

    internal companion object {
        /** Consecutive failures from which on a member counts as failing. */
        const val MINIMUM_FAILURES = 2
    }
}

/**
 * Timeouts of a [FailoverDecision].
 *
 * @property silenceTimeout time without any answer from a primary after which it counts as lost.
 * @property waitingTimeout the same for a primary that still accepts connections and whose commits wait for replicas.
 * @property acceptanceAge age up to which an accepted connection shows that the primary is there.
 * @property refusalTimeout time for which a primary's address refuses connections before it counts as crashed.
 * @property noPrimaryTimeout time without a known primary after which a replica is promoted.
 * @property maximumReportAge age up to which a replica's report is used; older ones may lack commits that another
 * replica has confirmed since.
 * @property reportWait time for which a failover waits for the report of a replica that answers without one, as a
 * replica does whose slots are all in use.
 * @property orderTimeout time that an order has to take effect before another one is given.
 * @property stallTimeout time for which no replica received the primary's commits before it is replaced.
 * @property stallOrderInterval minimum time between two orders for that reason.
 */
public data class FailoverTiming(
    val silenceTimeout: Duration = 1_200.milliseconds,
    val waitingTimeout: Duration = 10_000.milliseconds,
    val acceptanceAge: Duration = 2_000.milliseconds,
    val refusalTimeout: Duration = 400.milliseconds,
    val noPrimaryTimeout: Duration = 2_000.milliseconds,
    val maximumReportAge: Duration = 300.milliseconds,
    val reportWait: Duration = 800.milliseconds,
    val orderTimeout: Duration = 3_500.milliseconds,
    val stallTimeout: Duration = 1_500.milliseconds,
    val stallOrderInterval: Duration = 10_000.milliseconds,
)
