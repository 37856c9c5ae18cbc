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
 * Place of this VM among those that may act for a group: 0 acts at once, each later one a little later. It saves
 * races and nothing else; any two VMs may hold the same rank.
 */
public typealias CoordinatorRank = () -> Int

/**
 * Decides all that one VM does for one database group: whom to ask for a report and when, whether the primary is
 * lost, which member to promote, and who is to follow it. It has no input or output: [on] takes an event and the
 * time and returns the calls to be made.
 *
 * Not thread-safe: the owner guards it with a lock, which it may hold while it takes those of the two ledgers.
 *
 * @param proposer name under which this coordinator proposes terms. It must be unique to this run of this process,
 * because a member accepts a term once more from the proposer that it has accepted it from.
 * @param preference order in which members with equal logs are promoted.
 * @param writesWait whether writes wait for their confirmation, for which replicas are asked more often.
 * @param readsWait whether reads wait for a majority to be seen, for which all members are asked more often.
 * @param leaving members whose backend servers are leaving; a primary among them hands over to another member.
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
    private val choose: ChooseMember = ::mostComplete,
    private val writesWait: () -> Boolean = confirmations::hasWaiting,
    private val readsWait: () -> Boolean = freshness::hasWaiting,
    private val leaving: () -> Set<MemberName> = ::emptySet,
) {
    private val detector = FailureDetector(database, timing)
    private val members = database.members.map { it.name }
    private var probes: Map<MemberName, CallState> = members.associateWith { CallState() }
    private var follows: Map<MemberName, CallState> = members.associateWith { CallState() }
    private var vantage = CallState()
    private var promotion: Promotion? = null
    private var reason = LossReason.NO_PRIMARY
    private var verdict: PrimaryVerdict = PrimaryVerdict.Healthy
    private var lostSince: Duration? = null
    private var notBefore: Duration = -Duration.INFINITE
    private var failures = 0
    private var highestTerm = Term(0)
    private var awakeAt: Duration? = null

    /** What is known of the group. */
    public var view: GroupView = GroupView(database.name)
        private set

    /** State of the primary as of the last event. */
    public val primaryVerdict: PrimaryVerdict get() = verdict

    /** Returns how long ago [member] last answered. */
    public fun heardAgo(member: MemberName, now: Duration): Duration? = detector.heardAgo(member, now)

    /** Records [event], which was observed at [now], and returns what is to be done. */
    public fun on(event: GroupEvent, now: Duration): List<GroupEffect> {
        val before = view
        noticePause(now)
        val effects = record(event, now) + decide(now) + probesDue(now) + followsDue(now)
        val changed = view.term != before.term || view.primary != before.primary
        return if (changed) effects + GroupEffect.ViewChanged(view) else effects
    }

    /** Returns the time at which [on] wants a [GroupEvent.Tick] at the latest. */
    public fun nextWake(now: Duration): Duration {
        val probe = members.filterNot { probes.getValue(it).outstanding }
            .minOfOrNull { probes.getValue(it).sentAt + probeInterval(it) }
        val latest = now + LONGEST_SLEEP
        return (probe ?: latest).coerceIn(now + SHORTEST_SLEEP, latest)
    }

    private fun noticePause(now: Duration) {
        val paused = awakeAt?.let { now - it > timing.pauseBound } ?: false
        awakeAt = now
        if (!paused) return
        detector.restart()
        promotion = null
        lostSince = null
        notBefore = now + timing.backoff
    }

    private fun record(event: GroupEvent, now: Duration): List<GroupEffect> = when (event) {
        is GroupEvent.ReportAnswered -> recordReport(event)
        is GroupEvent.ContactReportsReceived -> recordVantage(event, now)
        is GroupEvent.AcceptAnswered -> {
            event.answer.onRight { learn(it, event.sentAt) }
            val answer = PromotionEvent.AcceptAnswered(event.member, event.answer)
            promote(event.proposal, answer, now)
        }
        is GroupEvent.PromoteAnswered -> {
            event.answer.onRight { learn(it, event.sentAt) }
            val answer = PromotionEvent.PromoteAnswered(event.member, event.answer)
            promote(event.proposal, answer, now)
        }
        is GroupEvent.FollowAnswered -> recordFollow(event)
        is GroupEvent.PeerViewReceived -> recordView(event.view)
        GroupEvent.Tick -> emptyList()
    }

    private fun recordReport(event: GroupEvent.ReportAnswered): List<GroupEffect> {
        probes = probes + (event.member to probes.getValue(event.member).copy(outstanding = false))
        detector.observe(event.member, event.sentAt, event.endedAt, event.answer)
        event.answer.onRight {
            noticeRise(it, event.endedAt)
            learn(it, event.sentAt)
        }
        return emptyList()
    }

    private fun recordVantage(event: GroupEvent.ContactReportsReceived, now: Duration): List<GroupEffect> {
        vantage = vantage.copy(outstanding = false)
        detector.observeVantage(event.primary, event.reports, now)
        return emptyList()
    }

    private fun recordFollow(event: GroupEvent.FollowAnswered): List<GroupEffect> {
        follows = follows + (event.member to follows.getValue(event.member).copy(outstanding = false))
        event.answer.onRight { learn(it, event.sentAt) }
        return emptyList()
    }

    private fun recordView(heard: GroupView): List<GroupEffect> {
        view = view.merge(heard)
        highestTerm = maxOf(highestTerm, view.term)
        return emptyList()
    }

    private fun noticeRise(report: MemberReport, now: Duration) {
        val rivalIsAtWork = report.acceptedTerm > highestTerm && !report.servesAsPrimary && promotion == null
        if (rivalIsAtWork) notBefore = maxOf(notBefore, now + timing.leaderlessGrace)
    }

    private fun learn(report: MemberReport, sentAt: Duration) {
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
        if (running != null) return promote(running.plan.proposal, PromotionEvent.TimePassed, now)
        return if (lost != null) startWhenDue(lost, now) else vantageDue(now)
    }

    private fun vantageDue(now: Duration): List<GroupEffect> {
        val primary = view.primary ?: return emptyList()
        val wanted = (verdict as? PrimaryVerdict.Suspected)?.askVantage ?: false
        if (!wanted || !vantage.isDue(now, timing.probeInterval)) return emptyList()
        vantage = CallState(outstanding = true, sentAt = now)
        return listOf(GroupEffect.AskVantage(primary))
    }

    private fun startWhenDue(lost: PrimaryVerdict.Lost, now: Duration): List<GroupEffect> {
        val turn = (lostSince ?: now) + timing.rankDelay * rank()
        if (now < turn || now < notBefore) return emptyList()
        highestTerm = highestTerm.next()
        reason = lost.reason
        val preferred = (listOfNotNull(view.primary) + preference).distinct()
        val proposal = TermProposal(highestTerm, proposer)
        val plan = PromotionPlan(proposal, preferred, lost.candidates, database.majority)
        return apply(Promotion.start(plan, now, timing, choose), now)
    }

    private fun promote(proposal: TermProposal, event: PromotionEvent, now: Duration): List<GroupEffect> {
        val running = promotion?.takeIf { it.plan.proposal == proposal } ?: return emptyList()
        return apply(running.on(event, now), now)
    }

    private fun apply(step: PromotionStep, now: Duration): List<GroupEffect> {
        val proposal = step.promotion.plan.proposal
        promotion = step.promotion.takeUnless { it.isOver }
        val calls = step.effects.map { it.asGroupEffect(proposal) }
        return when (val state = step.promotion.state) {
            is PromotionState.Won -> calls + won(state)
            is PromotionState.Lost -> calls.also { lostRace(state.highest, now) }
            is PromotionState.Abandoned -> calls.also { lostRace(highestTerm, now) }
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

    private fun lostRace(highest: Term, now: Duration) {
        highestTerm = maxOf(highestTerm, highest)
        val longest = minOf(timing.backoff * (1 shl minOf(failures, MAXIMUM_DOUBLINGS)), timing.maximumBackoff)
        notBefore = now + longest * (HALF + random.nextDouble())
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
            readsWait() || (isReplica && writesWait()) -> timing.confirmationInterval
            verdict != PrimaryVerdict.Healthy -> timing.suspectedProbeInterval
            else -> timing.probeInterval
        }
    }

    private fun followsDue(now: Duration): List<GroupEffect> {
        val due = members.filter { needsFollow(it, now) && follows.getValue(it).isDue(now, timing.replicaSilence) }
        return followAll(due, now)
    }

    private fun needsFollow(member: MemberName, now: Duration): Boolean {
        val report = detector.presentReport(member, now) ?: return false
        if (member == view.primary || report.acceptedTerm > view.term || view.primary == null) return false
        val strays = report.acceptedTerm < view.term || report.role == MemberRole.PRIMARY
        val deaf = report.primaryContactAge == null || report.primaryContactAge >= timing.replicaSilence
        return strays || (deaf && verdict == PrimaryVerdict.Healthy)
    }

    private fun followAll(due: List<MemberName>, now: Duration = awakeAt ?: Duration.ZERO): List<GroupEffect> {
        val primary = view.primary ?: return emptyList()
        follows = follows + due.associateWith { CallState(outstanding = true, sentAt = now) }
        return due.map { GroupEffect.Follow(view.term, primary, it) }
    }

    private data class CallState(val outstanding: Boolean = false, val sentAt: Duration = -Duration.INFINITE) {
        fun isDue(now: Duration, interval: Duration): Boolean = !outstanding && now - sentAt >= interval
    }

    private companion object {
        const val MAXIMUM_DOUBLINGS = 6
        const val HALF = 0.5
        val LONGEST_SLEEP = 100.milliseconds
        val SHORTEST_SLEEP = 1.milliseconds
    }
}

private fun PromotionEffect.asGroupEffect(proposal: TermProposal): GroupEffect = when (this) {
    is PromotionEffect.Accept -> GroupEffect.Accept(proposal, member)
    is PromotionEffect.Promote -> GroupEffect.Promote(proposal, member)
}
