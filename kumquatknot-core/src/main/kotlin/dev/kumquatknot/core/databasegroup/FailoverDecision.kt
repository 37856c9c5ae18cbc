package dev.kumquatknot.core.databasegroup

import dev.kumquatknot.core.history.HistoryPoint
import dev.kumquatknot.core.identity.MemberName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * What is known of one member of a group when a failover is decided.
 *
 * @property answeredAt when it answered last; null where it never did.
 * @property failingSince since when every question to it failed; null where the last one was answered.
 * @property failures questions that failed in a row, on connections of their own.
 * @property refusing whether its address rejects connections, as after a crash of the process.
 * @property received end of the log that it has received, as it reported last.
 * @property reportedAt when the report was received; null where there is none.
 */
public data class ObservedMember(
    val name: MemberName,
    val leaving: Boolean,
    val answeredAt: Duration?,
    val failingSince: Duration?,
    val failures: Int,
    val refusing: Boolean,
    val received: HistoryPoint?,
    val reportedAt: Duration?,
)

/** Why a promotion is ordered. */
public enum class FailoverReason {
    PRIMARY_SILENT,
    PRIMARY_REFUSING,
    PRIMARY_LEAVING,
    NO_PRIMARY,
}

/** The order that a [FailoverDecision] asks for. */
public data class FailoverOrder(val candidate: MemberName, val received: HistoryPoint, val reason: FailoverReason)

/**
 * Decides when one group needs another primary and which member that is: the reachable replica with the longest log.
 *
 * Confined to one thread.
 */
public class FailoverDecision(private val timing: FailoverTiming = FailoverTiming()) {
    private var ordered: MemberName? = null
    private var orderedAt = Duration.ZERO
    private var withoutPrimarySince: Duration? = null

    /** Notes that [candidate] was ordered to lead at [now]. */
    public fun ordered(candidate: MemberName, now: Duration) {
        ordered = candidate
        orderedAt = now
    }

    /** Notes that the order was refused or became needless. */
    public fun clearOrder() {
        ordered = null
    }

    /** Returns the order to give at [now], or null; [proved] tells whether [primary] surely leads. */
    public fun decide(
        members: List<ObservedMember>,
        primary: MemberName?,
        proved: Boolean,
        now: Duration,
    ): FailoverOrder? {
        if (ordered != null && ordered == primary && proved) ordered = null
        if (ordered != null && now - orderedAt < timing.orderPatience) return null
        val reason = reasonFor(members.firstOrNull { it.name == primary }, proved, now) ?: return null
        val candidates = members.filter { it.name != primary && !it.leaving && answersNow(it, now) }
        val undecided = members.any { it.name != primary && !it.leaving && mayAnswerSoon(it, now) }
        if (undecided) return null
        return candidates.mapNotNull { member -> member.received?.let { FailoverOrder(member.name, it, reason) } }
            .maxWithOrNull(compareBy<FailoverOrder> { it.received }.thenBy { it.candidate })
    }

    private fun reasonFor(primary: ObservedMember?, proved: Boolean, now: Duration): FailoverReason? {
        if (primary == null) {
            val since = withoutPrimarySince ?: now.also { withoutPrimarySince = it }
            return FailoverReason.NO_PRIMARY.takeIf { now - since > timing.withoutPrimary }
        }
        if (proved) withoutPrimarySince = null
        return if (primary.leaving) FailoverReason.PRIMARY_LEAVING else lossOf(primary, now)
    }

    private fun lossOf(primary: ObservedMember, now: Duration): FailoverReason? {
        val failingFor = primary.failingSince?.let { now - it } ?: return null
        return when {
            primary.failures < LEAST_FAILURES -> null
            primary.refusing && failingFor > timing.refusing -> FailoverReason.PRIMARY_REFUSING
            failingFor > timing.silent -> FailoverReason.PRIMARY_SILENT
            else -> null
        }
    }

    private fun answersNow(member: ObservedMember, now: Duration) =
        member.failingSince == null && member.reportedAt != null && now - member.reportedAt <= timing.reportAge

    private fun mayAnswerSoon(member: ObservedMember, now: Duration) =
        !answersNow(member, now) && member.failures < LEAST_FAILURES && member.answeredAt != null

    private companion object {
        const val LEAST_FAILURES = 2
    }
}

/**
 * Times of a [FailoverDecision].
 *
 * @property silent time without any answer from a primary after which it counts as lost.
 * @property refusing time for which a primary's address rejects connections before it counts as crashed.
 * @property withoutPrimary time for which no member is known to lead before one is chosen.
 * @property reportAge age up to which a replica's report decides.
 * @property orderPatience time that an order has to take effect before another is given.
 */
public data class FailoverTiming(
    val silent: Duration = 1_200.milliseconds,
    val refusing: Duration = 400.milliseconds,
    val withoutPrimary: Duration = 2_000.milliseconds,
    val reportAge: Duration = 800.milliseconds,
    val orderPatience: Duration = 3_500.milliseconds,
)
