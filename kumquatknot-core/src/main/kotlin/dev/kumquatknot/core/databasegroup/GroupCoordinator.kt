package dev.kumquatknot.core.databasegroup

import dev.kumquatknot.core.configuration.DatabaseConfiguration
import dev.kumquatknot.core.history.Term
import dev.kumquatknot.core.identity.MemberName
import dev.kumquatknot.core.identity.VmName
import dev.kumquatknot.core.member.MemberReport
import dev.kumquatknot.core.member.MemberRole
import dev.kumquatknot.core.member.TermProposal
import org.apache.commons.rng.UniformRandomProvider
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Rank of this VM among those that may promote a member of a group: 0 starts at once, each further rank waits one
 * [GroupTiming.rankDelay] more. Ranks only reduce competing promotions; safety does not depend on them, so two VMs may
 * have the same rank.
 */
public typealias CoordinatorRank = () -> Int

/**
 * State machine of one VM for one database group: when to probe each member, whether the primary is lost, which
 * member to promote, and which members must follow it. It does no I/O: [on] takes an event and the time and returns
 * the calls to make.
 *
 * Not thread-safe: the owner guards it with a lock. Lock order: that lock comes before those of the two trackers.
 *
 * @param proposer name under which this coordinator proposes terms. It must be unique to this run of the process,
 * because a member accepts a term again from the proposer from which it has accepted it before.
 * @param preference order in which members with equal logs are promoted.
 * @param hasWaitingWrites whether writes wait for confirmation; replicas are then probed more often.
 * @param hasWaitingReads whether reads wait for proof that a majority follows the primary; all members are then probed
 * more often.
 * @param leaving members whose backend servers are leaving; a primary among them is replaced.
 */
public class GroupCoordinator(
    private val database: DatabaseConfiguration,
    private val proposer: VmName,
    private val timing: GroupTiming,
    private val rank: CoordinatorRank,
    private val random: UniformRandomProvider,
    private val confirmations: ConfirmationTracker,
    private val freshness: FreshnessTracker,
    private val preference: List<MemberName> = database.members.map { it.name },
    private val choose: MemberSelector = ::mostCompleteMember,
    private val hasWaitingWrites: () -> Boolean = confirmations::hasWaiting,
    private val hasWaitingReads: () -> Boolean = freshness::hasWaiting,
    private val leaving: () -> Set<MemberName> = ::emptySet,
) {
    private val detector = FailureDetector(database, timing)
    private val members = database.members.map { it.name }
    private var probes: Map<MemberName, CallState> = members.associateWith { CallState() }
    private var follows: Map<MemberName, CallState> = members.associateWith { CallState() }
    private var contactReportsCall = CallState()
    private var promotion: Promotion? = null
    private var reason = LossReason.NO_PRIMARY
    private var verdict: PrimaryVerdict = PrimaryVerdict.Healthy
    private var lostSince: Duration? = null
    private var earliestPromotionAt: Duration = -Duration.INFINITE
    private var failures = 0
    private var highestTerm = Term(0)
    private var lastEventAt: Duration? = null

    /** Term, primary and log positions of the group as this VM knows them. */
    public var view: GroupView = GroupView(database.name)
        private set

    /** State of the primary as of the last event. */
    public val primaryVerdict: PrimaryVerdict get() = verdict

    /** Returns how long ago [member] last answered. */
    public fun lastResponseAge(member: MemberName, now: Duration): Duration? = detector.lastResponseAge(member, now)

    /** Applies [event], which was observed at [now], and returns the calls to make. */
    public fun on(event: GroupEvent, now: Duration): List<GroupEffect> {
        val before = view
        detectPause(now)
        val effects = record(event, now) + decide(now) + probesDue(now) + followsDue(now)
        val changed = view.term != before.term || view.primary != before.primary
        return if (changed) effects + GroupEffect.ViewChanged(view) else effects
    }

    /** Returns the time by which [on] must be called again, with [GroupEvent.Tick] if no other event arrives. */
    public fun nextWake(now: Duration): Duration {
        val probe = members.filterNot { probes.getValue(it).outstanding }
            .minOfOrNull { probes.getValue(it).sentAt + probeInterval(it) }
        val latest = now + MAXIMUM_SLEEP
        return (probe ?: latest).coerceIn(now + MINIMUM_SLEEP, latest)
    }

    private fun detectPause(now: Duration) {
        val paused = lastEventAt?.let { now - it > timing.pauseThreshold } ?: false
        lastEventAt = now
        if (!paused) return
        detector.reset()
        promotion = null
        lostSince = null
        earliestPromotionAt = now + timing.initialBackoff
    }

    private fun record(event: GroupEvent, now: Duration): List<GroupEffect> = when (event) {
        is GroupEvent.ReportAnswered -> recordReport(event)
        is GroupEvent.ContactReportsReceived -> onContactReports(event, now)
        is GroupEvent.AcceptAnswered -> {
            event.answer.onRight { applyReport(it, event.sentAt) }
            val answer = PromotionEvent.AcceptAnswered(event.member, event.answer)
            advancePromotion(event.proposal, answer, now)
        }
        is GroupEvent.PromoteAnswered -> {
            event.answer.onRight { applyReport(it, event.sentAt) }
            val answer = PromotionEvent.PromoteAnswered(event.member, event.answer)
            advancePromotion(event.proposal, answer, now)
        }
        is GroupEvent.FollowAnswered -> recordFollow(event)
        is GroupEvent.PeerViewReceived -> mergePeerView(event.view)
        GroupEvent.Tick -> emptyList()
    }

    private fun recordReport(event: GroupEvent.ReportAnswered): List<GroupEffect> {
        probes = probes + (event.member to probes.getValue(event.member).copy(outstanding = false))
        detector.observe(event.member, event.sentAt, event.endedAt, event.answer)
        event.answer.onRight {
            deferToRivalPromotion(it, event.endedAt)
            applyReport(it, event.sentAt)
        }
        return emptyList()
    }

    private fun onContactReports(event: GroupEvent.ContactReportsReceived, now: Duration): List<GroupEffect> {
        contactReportsCall = contactReportsCall.copy(outstanding = false)
        detector.recordContactReports(event.primary, event.reports, now)
        return emptyList()
    }

    private fun recordFollow(event: GroupEvent.FollowAnswered): List<GroupEffect> {
        follows = follows + (event.member to follows.getValue(event.member).copy(outstanding = false))
        event.answer.onRight { applyReport(it, event.sentAt) }
        return emptyList()
    }

    private fun mergePeerView(peerView: GroupView): List<GroupEffect> {
        view = view.merge(peerView)
        highestTerm = maxOf(highestTerm, view.term)
        return emptyList()
    }

    private fun deferToRivalPromotion(report: MemberReport, now: Duration) {
        val rivalIsPromoting = report.acceptedTerm > highestTerm && !report.servesAsPrimary && promotion == null
        if (rivalIsPromoting) earliestPromotionAt = maxOf(earliestPromotionAt, now + timing.noPrimaryGrace)
    }

    private fun applyReport(report: MemberReport, sentAt: Duration) {
        highestTerm = maxOf(highestTerm, report.acceptedTerm)
        view = view.after(report)
        confirmations.observe(report.member, report.lastEntry, report.acceptedTerm)
        freshness.observe(report, sentAt)
    }

    private fun decide(now: Duration): List<GroupEffect> {
        verdict = detector.verdict(view, now, leaving())
        val lost = verdict as? PrimaryVerdict.Lost
        lostSince = if (lost == null) null else lostSince ?: now
        val running = promotion
        if (running != null) return advancePromotion(running.plan.proposal, PromotionEvent.Tick, now)
        return if (lost != null) startPromotionWhenDue(lost, now) else contactReportsDue(now)
    }

    private fun contactReportsDue(now: Duration): List<GroupEffect> {
        val primary = view.primary ?: return emptyList()
        val isRequested = (verdict as? PrimaryVerdict.Suspected)?.requestContactReports ?: false
        if (!isRequested || !contactReportsCall.isDue(now, timing.probeInterval)) return emptyList()
        contactReportsCall = CallState(outstanding = true, sentAt = now)
        return listOf(GroupEffect.RequestContactReports(primary))
    }

    private fun startPromotionWhenDue(lost: PrimaryVerdict.Lost, now: Duration): List<GroupEffect> {
        val startAt = (lostSince ?: now) + timing.rankDelay * rank()
        if (now < startAt || now < earliestPromotionAt) return emptyList()
        highestTerm = highestTerm.next()
        reason = lost.reason
        val preferred = (listOfNotNull(view.primary) + preference).distinct()
        val proposal = TermProposal(highestTerm, proposer)
        val plan = PromotionPlan(proposal, preferred, lost.candidates, database.majority)
        return apply(Promotion.start(plan, now, timing, choose), now)
    }

    private fun advancePromotion(proposal: TermProposal, event: PromotionEvent, now: Duration): List<GroupEffect> {
        val running = promotion?.takeIf { it.plan.proposal == proposal } ?: return emptyList()
        return apply(running.on(event, now), now)
    }

    private fun apply(step: PromotionStep, now: Duration): List<GroupEffect> {
        val proposal = step.promotion.plan.proposal
        promotion = step.promotion.takeUnless { it.isFinished }
        val calls = step.effects.map { it.toGroupEffect(proposal) }
        return when (val state = step.promotion.state) {
            is PromotionState.Won -> calls + won(state)
            is PromotionState.Lost -> calls.also { scheduleRetry(state.highest, now) }
            is PromotionState.Abandoned -> calls.also { scheduleRetry(highestTerm, now) }
            else -> calls
        }
    }

    private fun won(state: PromotionState.Won): List<GroupEffect> {
        view = view.after(state.primary)
        failures = 0
        lostSince = null
        follows = members.associateWith { CallState() }
        return followAll(members - state.primary.member) + GroupEffect.PublishPromotion(view, reason)
    }

    private fun scheduleRetry(highest: Term, now: Duration) {
        highestTerm = maxOf(highestTerm, highest)
        val backoff = minOf(timing.initialBackoff * (1 shl minOf(failures, MAXIMUM_DOUBLINGS)), timing.maximumBackoff)
        earliestPromotionAt = now + backoff * (MINIMUM_JITTER_FACTOR + random.nextDouble())
        failures++
    }

    private fun probesDue(now: Duration): List<GroupEffect> {
        val due = members.filter { probes.getValue(it).isDue(now, probeInterval(it)) }
        probes = probes + due.associateWith { CallState(outstanding = true, sentAt = now) }
        return due.map { GroupEffect.Probe(it) }
    }

    private fun probeInterval(member: MemberName): Duration {
        val isReplica = member != view.primary
        return when {
            hasWaitingReads() || (isReplica && hasWaitingWrites()) -> timing.confirmationInterval
            verdict != PrimaryVerdict.Healthy -> timing.suspectedProbeInterval
            else -> timing.probeInterval
        }
    }

    private fun followsDue(now: Duration): List<GroupEffect> {
        val due = members.filter { needsFollow(it, now) && follows.getValue(it).isDue(now, timing.replicaSilence) }
        return followAll(due, now)
    }

    private fun needsFollow(member: MemberName, now: Duration): Boolean {
        val report = detector.recentReport(member, now) ?: return false
        if (member == view.primary || report.acceptedTerm > view.term || view.primary == null) return false
        val needsRedirect = report.acceptedTerm < view.term || report.role == MemberRole.PRIMARY
        val disconnected = report.primaryContactAge == null || report.primaryContactAge >= timing.replicaSilence
        return needsRedirect || (disconnected && verdict == PrimaryVerdict.Healthy)
    }

    private fun followAll(due: List<MemberName>, now: Duration = lastEventAt ?: Duration.ZERO): List<GroupEffect> {
        val primary = view.primary ?: return emptyList()
        follows = follows + due.associateWith { CallState(outstanding = true, sentAt = now) }
        return due.map { GroupEffect.Follow(view.term, primary, it) }
    }

    private data class CallState(val outstanding: Boolean = false, val sentAt: Duration = -Duration.INFINITE) {
        fun isDue(now: Duration, interval: Duration): Boolean = !outstanding && now - sentAt >= interval
    }

    private companion object {
        const val MAXIMUM_DOUBLINGS = 6
        const val MINIMUM_JITTER_FACTOR = 0.5
        val MAXIMUM_SLEEP = 100.milliseconds
        val MINIMUM_SLEEP = 1.milliseconds
    }
}

private fun PromotionEffect.toGroupEffect(proposal: TermProposal): GroupEffect = when (this) {
    is PromotionEffect.Accept -> GroupEffect.Accept(proposal, member)
    is PromotionEffect.Promote -> GroupEffect.Promote(proposal, member)
}
