package dev.kumquatknot.core.databasegroup

import arrow.core.Either
import dev.kumquatknot.core.configuration.DatabaseConfiguration
import dev.kumquatknot.core.history.Term
import dev.kumquatknot.core.identity.MemberName
import dev.kumquatknot.core.identity.VmName
import dev.kumquatknot.core.member.MemberFailure
import dev.kumquatknot.core.member.MemberReport
import kotlin.math.ceil
import kotlin.math.ln
import kotlin.math.pow
import kotlin.time.Duration

/** Time since a member last answered [vm]; [lastResponseAge] is null where it never did. */
public data class MemberContactReport(val vm: VmName, val lastResponseAge: Duration?)

/** Why a group needs a new primary. */
public enum class LossReason {
    /** The primary answers neither this VM nor its replicas. */
    SILENT,

    /** The primary answers no VM, although a replica is still in contact with it. */
    UNREACHABLE_FOR_VMS,

    /** The primary answers, but no replica is in contact with it, so that none of its writes can be confirmed. */
    CUT_OFF_FROM_REPLICAS,

    /** A majority has accepted a later term than the primary's, or there is no primary. */
    NO_PRIMARY,

    /** One member has accepted a later term than the primary's and follows nobody. */
    TERM_CONFLICT,

    /** The primary serves, but its backend server is leaving the group. */
    LEAVING,
}

/** State of a group's primary as this VM sees it. */
public sealed interface PrimaryVerdict {
    /** The primary serves. */
    public data object Healthy : PrimaryVerdict

    /** The primary may be lost. [requestContactReports] tells whether to ask other VMs when it last answered them. */
    public data class Suspected(val requestContactReports: Boolean) : PrimaryVerdict

    /** A new primary is needed, to be promoted from [candidates], a majority of which has answered recently. */
    public data class Lost(val reason: LossReason, val candidates: Set<MemberName>) : PrimaryVerdict
}

/**
 * Failure detector for the primary of one group, based on the report calls that its members answer or miss.
 *
 * A slow answer counts as an answer. The primary counts as silent only after several consecutive missed calls, of which
 * all but the first use a new connection, and only if the replicas have lost contact with it too or no other VM has had
 * a later answer. Replication lag is ignored. Not thread-safe: the owner guards it with a lock.
 */
public class FailureDetector(private val database: DatabaseConfiguration, private val timing: GroupTiming) {
    private var histories: Map<MemberName, ProbeHistory> = emptyMap()
    private var peerReports: PeerContactReports? = null
    private var suspectedSince: Map<LossReason, Duration> = emptyMap()
    private var term = Term(0)
    private var termSince: Duration = Duration.ZERO

    /** Records the result of a report call that was sent at [sentAt] and ended at [endedAt]. */
    public fun observe(
        member: MemberName,
        sentAt: Duration,
        endedAt: Duration,
        result: Either<MemberFailure, MemberReport>,
    ) {
        val known = histories[member] ?: ProbeHistory()
        val next = result.fold({ known.failed(it, sentAt, endedAt) }, { known.answered(it, sentAt, endedAt) })
        histories = histories + (member to next)
    }

    /** Records the [reports] of other VMs on their last contact with [primary], received at [now]. */
    public fun recordContactReports(primary: MemberName, reports: List<MemberContactReport>, now: Duration) {
        peerReports = PeerContactReports(primary, reports, now)
    }

    /** Discards all missed calls, reports and suspicions, since they are unreliable after a pause of this VM. */
    public fun reset() {
        histories = histories.mapValues { (_, history) -> history.copy(misses = 0, silentSince = null, report = null) }
        peerReports = null
        suspectedSince = emptyMap()
    }

    /** Returns how long ago [member] last answered. */
    public fun lastResponseAge(member: MemberName, now: Duration): Duration? =
        histories[member]?.answeredAt?.let { now - it }

    /** Returns the last report of [member], or null if it is older than [GroupTiming.reportValidity] at [now]. */
    public fun recentReport(member: MemberName, now: Duration): MemberReport? {
        val history = histories[member] ?: return null
        val answeredAt = history.answeredAt ?: return null
        return history.report.takeIf { now - answeredAt <= timing.reportValidity }
    }

    /** Returns the state of the primary of [view] at [now]; a primary among the [leaving] members is to be replaced. */
    public fun verdict(view: GroupView, now: Duration, leaving: Set<MemberName> = emptySet()): PrimaryVerdict {
        updateTerm(view.term, now)
        val recent = recentReports(now)
        val reason = currentReason(view, recent, now)
        suspectedSince = if (reason == null) emptyMap() else mapOf(reason to (suspectedSince[reason] ?: now))
        if (reason == null) return verdictWithoutReason(view, recent, leaving)
        return lost(reason, view, recent, now) ?: PrimaryVerdict.Suspected(reason == LossReason.UNREACHABLE_FOR_VMS)
    }

    private fun updateTerm(seen: Term, now: Duration) {
        if (seen == term) return
        term = seen
        termSince = now
        suspectedSince = emptyMap()
        peerReports = null
    }

    private fun verdictWithoutReason(
        view: GroupView,
        recent: Map<MemberName, MemberReport>,
        leaving: Set<MemberName>,
    ): PrimaryVerdict {
        val misses = view.primary?.let { missesOf(it) } ?: 0
        if (misses > 0) return PrimaryVerdict.Suspected(requestContactReports = false)
        val remainingMembers = database.members.map { it.name }.toSet() - leaving - setOfNotNull(view.primary)
        val connectedCount = recent.values.count { it.member in remainingMembers && isConnectedToPrimary(it) }
        val handsOver = view.primary in leaving && connectedCount >= database.majority
        return if (handsOver) PrimaryVerdict.Lost(LossReason.LEAVING, remainingMembers) else PrimaryVerdict.Healthy
    }

    private fun lost(
        reason: LossReason,
        view: GroupView,
        recent: Map<MemberName, MemberReport>,
        now: Duration,
    ): PrimaryVerdict.Lost? {
        val excluded = setOfNotNull(view.primary.takeIf { reason in REASONS_EXCLUDING_PRIMARY })
        val candidates = database.members.map { it.name }.toSet() - excluded
        val reachable = recent.keys.intersect(candidates).size
        val graceExpired = now - suspectedSince.getValue(reason) >= gracePeriodOf(reason, view, now)
        return PrimaryVerdict.Lost(reason, candidates).takeIf { graceExpired && reachable >= database.majority }
    }

    private fun gracePeriodOf(reason: LossReason, view: GroupView, now: Duration): Duration = when (reason) {
        LossReason.SILENT -> Duration.ZERO
        LossReason.UNREACHABLE_FOR_VMS -> if (isSilentForPeers(view, now)) Duration.ZERO else Duration.INFINITE
        LossReason.CUT_OFF_FROM_REPLICAS -> timing.replicaSilence
        LossReason.NO_PRIMARY -> timing.noPrimaryGrace
        LossReason.TERM_CONFLICT -> timing.termConflictGrace
        LossReason.LEAVING -> Duration.ZERO
    }

    private fun isSilentForPeers(view: GroupView, now: Duration): Boolean {
        val primary = view.primary ?: return false
        val recentPeerReports =
            peerReports?.takeIf { it.primary == primary && now - it.receivedAt <= timing.reportValidity }
                ?: return false
        val silence = silenceDurationOf(primary, now)
        val respondedUntil = now - silence + timing.probeTimeout
        val peerHasLaterResponse = recentPeerReports.reports.any {
            it.lastResponseAge != null && recentPeerReports.receivedAt - it.lastResponseAge > respondedUntil
        }
        val factor = if (recentPeerReports.reports.isEmpty()) NO_PEER_REPORT_FACTOR else 1
        val required = minOf(requiredMisses() * factor, timing.maximumMisses)
        return !peerHasLaterResponse && missesOf(primary) >= required && silence >= timing.probeTimeout * required
    }

    /** Consecutive misses that message loss alone causes less often than [GroupTiming.falsePositiveRate]. */
    private fun requiredMisses(): Int {
        val worst = histories.values.maxOfOrNull { it.lossRate } ?: 0.0
        val rate = worst.coerceIn(timing.minimumLossRate, MAXIMUM_LOSS_RATE)
        return ceil(ln(timing.falsePositiveRate) / ln(rate)).toInt()
    }

    private fun currentReason(view: GroupView, recent: Map<MemberName, MemberReport>, now: Duration): LossReason? {
        val inTerm = recent.values.count { it.acceptedTerm == view.term }
        val inLaterTerm = recent.values.count { it.acceptedTerm > view.term }
        val replicas = recent.values.filter { it.member != view.primary }
        val primaryReport = view.primary?.let { recent[it] }
        return when {
            view.primary == null -> LossReason.NO_PRIMARY.takeIf { replicas.none { isConnectedToPrimary(it) } }
            inLaterTerm >= database.majority -> LossReason.NO_PRIMARY
            isSilent(view.primary, now) -> silenceReason(replicas)
            primaryReport == null -> null
            primaryReport.acceptedTerm == view.term && !primaryReport.servesAsPrimary -> LossReason.NO_PRIMARY
            isCutOffFromReplicas(replicas, now) -> LossReason.CUT_OFF_FROM_REPLICAS
            inLaterTerm > 0 && inTerm > 0 -> LossReason.TERM_CONFLICT
            else -> null
        }
    }

    private fun silenceReason(replicas: List<MemberReport>): LossReason =
        if (replicas.any { isConnectedToPrimary(it) }) LossReason.UNREACHABLE_FOR_VMS else LossReason.SILENT

    private fun isSilent(primary: MemberName, now: Duration): Boolean {
        val history = histories[primary] ?: return false
        return history.misses >= timing.missesWithDisconnectedReplicas &&
            silenceDurationOf(primary, now) >= timing.minimumSilence
    }

    private fun missesOf(member: MemberName): Int = histories[member]?.misses ?: 0

    private fun silenceDurationOf(primary: MemberName, now: Duration): Duration =
        histories[primary]?.silentSince?.let { now - it } ?: Duration.ZERO

    private fun isConnectedToPrimary(report: MemberReport): Boolean {
        val age = report.primaryContactAge ?: return false
        return age < timing.replicaSilence
    }

    private fun isCutOffFromReplicas(replicas: List<MemberReport>, now: Duration): Boolean {
        if (now - termSince < timing.cutOffSilence * 2) return false
        val disconnected =
            replicas.count { it.primaryContactAge == null || it.primaryContactAge >= timing.cutOffSilence }
        return disconnected == replicas.size && disconnected >= database.majority
    }

    private fun recentReports(now: Duration): Map<MemberName, MemberReport> =
        histories.keys.mapNotNull { recentReport(it, now) }.associateBy { it.member }

    private fun ProbeHistory.answered(report: MemberReport, sentAt: Duration, endedAt: Duration): ProbeHistory =
        if (this.sentAt > sentAt) this else ProbeHistory(0, null, report, sentAt, endedAt, lossRateAfterResponse())

    private fun ProbeHistory.failed(failure: MemberFailure, sentAt: Duration, endedAt: Duration): ProbeHistory {
        val unanswered = failure is MemberFailure.NoAnswer || failure is MemberFailure.Unreachable
        if (!unanswered) return copy(misses = 0, silentSince = null)
        val stalled = endedAt - sentAt > timing.probeTimeout + timing.pauseThreshold
        if (stalled) return this
        return copy(misses = misses + 1, silentSince = silentSince ?: sentAt)
    }

    private data class ProbeHistory(
        val misses: Int = 0,
        val silentSince: Duration? = null,
        val report: MemberReport? = null,
        val sentAt: Duration = -Duration.INFINITE,
        val answeredAt: Duration? = null,
        val lossRate: Double = 0.0,
    ) {
        /** Moving average over the calls up to the last answered one, so that a lost member does not raise it. */
        fun lossRateAfterResponse(): Double {
            val remainingWeight = (1 - LOSS_RATE_WEIGHT).pow(misses)
            return (lossRate * remainingWeight + (1 - remainingWeight)) * (1 - LOSS_RATE_WEIGHT)
        }
    }

    private data class PeerContactReports(
        val primary: MemberName,
        val reports: List<MemberContactReport>,
        val receivedAt: Duration,
    )

    private companion object {
        const val LOSS_RATE_WEIGHT = 0.1
        const val MAXIMUM_LOSS_RATE = 0.9
        const val NO_PEER_REPORT_FACTOR = 2
        val REASONS_EXCLUDING_PRIMARY =
            setOf(LossReason.SILENT, LossReason.UNREACHABLE_FOR_VMS, LossReason.CUT_OFF_FROM_REPLICAS)
    }
}
