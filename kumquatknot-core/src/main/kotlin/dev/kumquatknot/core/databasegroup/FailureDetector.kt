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

/** When [vm] last heard a member answer: so long ago, or never. */
public data class MemberContactReport(val vm: VmName, val heardAgo: Duration?)

/** Why a group needs a new primary. */
public enum class LossReason {
    /** The primary answers neither this VM nor its replicas. */
    SILENT,

    /** The primary answers no VM, although a replica hears it. */
    UNREACHABLE_FOR_VMS,

    /** The primary answers, but no replica hears it: it can confirm no write. */
    CUT_OFF_FROM_REPLICAS,

    /** A majority has left the primary's term, or there is no primary at all. */
    NO_PRIMARY,

    /** One member has accepted a later term than the primary's and follows nobody. */
    TERM_CONFLICT,

    /** The primary serves, and its backend server is leaving. */
    LEAVING,
}

/** State of a group's primary as this VM sees it. */
public sealed interface PrimaryVerdict {
    /** The primary serves. */
    public data object Healthy : PrimaryVerdict

    /** The primary is in doubt. [askVantage] asks whether other VMs still hear it. */
    public data class Suspected(val askVantage: Boolean) : PrimaryVerdict

    /** A new primary is needed, which must be one of [candidates]; a majority of the group has just answered. */
    public data class Lost(val reason: LossReason, val candidates: Set<MemberName>) : PrimaryVerdict
}

/**
 * Decides whether the primary of a group is lost, from the answers and the missing answers of its members.
 *
 * A slow answer is an answer. A missing one counts only when several in a row are missing, of which all but the first
 * go over a fresh connection, and when the replicas have lost the primary as well or no other VM hears it.
 * Replication lag plays no part. Not thread-safe: the owner guards it.
 */
public class FailureDetector(private val database: DatabaseConfiguration, private val timing: GroupTiming) {
    private var contacts: Map<MemberName, Contact> = emptyMap()
    private var vantage: Vantage? = null
    private var doubts: Map<LossReason, Duration> = emptyMap()
    private var term = Term(0)
    private var termSince: Duration = Duration.ZERO

    /** Records the result of a report call that was sent at [sentAt] and ended at [endedAt]. */
    public fun observe(
        member: MemberName,
        sentAt: Duration,
        endedAt: Duration,
        result: Either<MemberFailure, MemberReport>,
    ) {
        val known = contacts[member] ?: Contact()
        val next = result.fold({ known.failed(it, sentAt, endedAt) }, { known.answered(it, sentAt, endedAt) })
        contacts = contacts + (member to next)
    }

    /** Records what other VMs said about [primary] at [now]. */
    public fun observeVantage(primary: MemberName, reports: List<MemberContactReport>, now: Duration) {
        vantage = Vantage(primary, reports, now)
    }

    /** Forgets all missing answers and doubts, because this VM itself was paused until now. */
    public fun restart() {
        contacts = contacts.mapValues { (_, contact) -> contact.copy(misses = 0, silentSince = null, report = null) }
        vantage = null
        doubts = emptyMap()
    }

    /** Returns how long ago [member] last answered. */
    public fun heardAgo(member: MemberName, now: Duration): Duration? = contacts[member]?.answeredAt?.let { now - it }

    /** Returns the last report of [member] where it still counts at [now]. */
    public fun presentReport(member: MemberName, now: Duration): MemberReport? {
        val contact = contacts[member] ?: return null
        val answeredAt = contact.answeredAt ?: return null
        return contact.report.takeIf { now - answeredAt <= timing.reportValidity }
    }

    /** Returns the state of the primary of [view] at [now]; backend servers in [leaving] are to be vacated. */
    public fun verdict(view: GroupView, now: Duration, leaving: Set<MemberName> = emptySet()): PrimaryVerdict {
        noticeTerm(view.term, now)
        val present = presentReports(now)
        val reason = reasonNow(view, present, now)
        doubts = if (reason == null) emptyMap() else mapOf(reason to (doubts[reason] ?: now))
        if (reason == null) return quietVerdict(view, present, leaving)
        return lost(reason, view, present, now) ?: PrimaryVerdict.Suspected(reason == LossReason.UNREACHABLE_FOR_VMS)
    }

    private fun noticeTerm(seen: Term, now: Duration) {
        if (seen == term) return
        term = seen
        termSince = now
        doubts = emptyMap()
        vantage = null
    }

    private fun quietVerdict(
        view: GroupView,
        present: Map<MemberName, MemberReport>,
        leaving: Set<MemberName>,
    ): PrimaryVerdict {
        val misses = view.primary?.let { missesOf(it) } ?: 0
        if (misses > 0) return PrimaryVerdict.Suspected(askVantage = false)
        val successors = database.members.map { it.name }.toSet() - leaving - setOfNotNull(view.primary)
        val ready = present.values.count { it.member in successors && hearsPrimary(it) }
        val moves = view.primary in leaving && ready >= database.majority
        return if (moves) PrimaryVerdict.Lost(LossReason.LEAVING, successors) else PrimaryVerdict.Healthy
    }

    private fun lost(
        reason: LossReason,
        view: GroupView,
        present: Map<MemberName, MemberReport>,
        now: Duration,
    ): PrimaryVerdict.Lost? {
        val excluded = setOfNotNull(view.primary.takeIf { reason in REASONS_EXCLUDING_PRIMARY })
        val candidates = database.members.map { it.name }.toSet() - excluded
        val reachable = present.keys.intersect(candidates).size
        val proved = now - doubts.getValue(reason) >= graceOf(reason, view, now)
        return PrimaryVerdict.Lost(reason, candidates).takeIf { proved && reachable >= database.majority }
    }

    private fun graceOf(reason: LossReason, view: GroupView, now: Duration): Duration = when (reason) {
        LossReason.SILENT -> Duration.ZERO
        LossReason.UNREACHABLE_FOR_VMS -> if (isUnheardElsewhere(view, now)) Duration.ZERO else Duration.INFINITE
        LossReason.CUT_OFF_FROM_REPLICAS -> timing.replicaSilence
        LossReason.NO_PRIMARY -> timing.leaderlessGrace
        LossReason.TERM_CONFLICT -> timing.conflictGrace
        LossReason.LEAVING -> Duration.ZERO
    }

    private fun isUnheardElsewhere(view: GroupView, now: Duration): Boolean {
        val primary = view.primary ?: return false
        val asked =
            vantage?.takeIf { it.primary == primary && now - it.askedAt <= timing.reportValidity } ?: return false
        val silence = silenceOf(primary, now)
        val heardUntil = now - silence + timing.probeTimeout
        val heard = asked.reports.any { it.heardAgo != null && asked.askedAt - it.heardAgo > heardUntil }
        val factor = if (asked.reports.isEmpty()) UNSUPPORTED_FACTOR else 1
        val needed = minOf(missesNeeded() * factor, timing.maximumMisses)
        return !heard && missesOf(primary) >= needed && silence >= timing.probeTimeout * needed
    }

    /** Number of misses in a row that loss alone causes less often than [GroupTiming.falseAlarmRate]. */
    private fun missesNeeded(): Int {
        val worst = contacts.values.maxOfOrNull { it.lossRate } ?: 0.0
        val rate = worst.coerceIn(timing.minimumLossRate, MAXIMUM_LOSS_RATE)
        return ceil(ln(timing.falseAlarmRate) / ln(rate)).toInt()
    }

    private fun reasonNow(view: GroupView, present: Map<MemberName, MemberReport>, now: Duration): LossReason? {
        val standing = present.values.count { it.acceptedTerm == view.term }
        val departed = present.values.count { it.acceptedTerm > view.term }
        val replicas = present.values.filter { it.member != view.primary }
        val primaryReport = view.primary?.let { present[it] }
        return when {
            view.primary == null -> LossReason.NO_PRIMARY.takeIf { replicas.none { hearsPrimary(it) } }
            departed >= database.majority -> LossReason.NO_PRIMARY
            isSilent(view.primary, now) -> silentReason(replicas)
            primaryReport == null -> null
            primaryReport.acceptedTerm == view.term && !primaryReport.servesAsPrimary -> LossReason.NO_PRIMARY
            isCutOff(replicas, now) -> LossReason.CUT_OFF_FROM_REPLICAS
            departed > 0 && standing > 0 -> LossReason.TERM_CONFLICT
            else -> null
        }
    }

    private fun silentReason(replicas: List<MemberReport>): LossReason =
        if (replicas.any { hearsPrimary(it) }) LossReason.UNREACHABLE_FOR_VMS else LossReason.SILENT

    private fun isSilent(primary: MemberName, now: Duration): Boolean {
        val contact = contacts[primary] ?: return false
        return contact.misses >= timing.missesWithDeafReplicas && silenceOf(primary, now) >= timing.minimumSilence
    }

    private fun missesOf(member: MemberName): Int = contacts[member]?.misses ?: 0

    private fun silenceOf(primary: MemberName, now: Duration): Duration =
        contacts[primary]?.silentSince?.let { now - it } ?: Duration.ZERO

    private fun hearsPrimary(report: MemberReport): Boolean {
        val age = report.primaryContactAge ?: return false
        return age < timing.replicaSilence
    }

    private fun isCutOff(replicas: List<MemberReport>, now: Duration): Boolean {
        if (now - termSince < timing.cutOffSilence * 2) return false
        val deaf = replicas.count { it.primaryContactAge == null || it.primaryContactAge >= timing.cutOffSilence }
        return deaf == replicas.size && deaf >= database.majority
    }

    private fun presentReports(now: Duration): Map<MemberName, MemberReport> =
        contacts.keys.mapNotNull { presentReport(it, now) }.associateBy { it.member }

    private fun Contact.answered(report: MemberReport, sentAt: Duration, endedAt: Duration): Contact =
        if (this.sentAt > sentAt) this else Contact(0, null, report, sentAt, endedAt, lossRateAfterAnswer())

    private fun Contact.failed(failure: MemberFailure, sentAt: Duration, endedAt: Duration): Contact {
        val unanswered = failure is MemberFailure.NoAnswer || failure is MemberFailure.Unreachable
        if (!unanswered) return copy(misses = 0, silentSince = null)
        val stalled = endedAt - sentAt > timing.probeTimeout + timing.pauseBound
        if (stalled) return this
        return copy(misses = misses + 1, silentSince = silentSince ?: sentAt)
    }

    private data class Contact(
        val misses: Int = 0,
        val silentSince: Duration? = null,
        val report: MemberReport? = null,
        val sentAt: Duration = -Duration.INFINITE,
        val answeredAt: Duration? = null,
        val lossRate: Double = 0.0,
    ) {
        /** Moving average over the calls up to the last answered one, so that a lost member does not raise it. */
        fun lossRateAfterAnswer(): Double {
            val kept = (1 - LOSS_RATE_WEIGHT).pow(misses)
            return (lossRate * kept + (1 - kept)) * (1 - LOSS_RATE_WEIGHT)
        }
    }

    private data class Vantage(val primary: MemberName, val reports: List<MemberContactReport>, val askedAt: Duration)

    private companion object {
        const val LOSS_RATE_WEIGHT = 0.1
        const val MAXIMUM_LOSS_RATE = 0.9
        const val UNSUPPORTED_FACTOR = 2
        val REASONS_EXCLUDING_PRIMARY =
            setOf(LossReason.SILENT, LossReason.UNREACHABLE_FOR_VMS, LossReason.CUT_OFF_FROM_REPLICAS)
    }
}
