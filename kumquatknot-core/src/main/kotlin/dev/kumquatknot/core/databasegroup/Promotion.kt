package dev.kumquatknot.core.databasegroup

import arrow.core.Either
import dev.kumquatknot.core.history.Term
import dev.kumquatknot.core.identity.MemberName
import dev.kumquatknot.core.member.MemberFailure
import dev.kumquatknot.core.member.MemberReport
import dev.kumquatknot.core.member.TermProposal
import kotlin.time.Duration

/** Chooses the member to promote among those that have accepted the term; the list is not empty. */
public typealias ChooseMember = (accepted: List<MemberReport>, preference: List<MemberName>) -> MemberName

/**
 * What a promotion is to reach.
 *
 * @property members all members of the group, the most preferred first.
 * @property candidates members that may be promoted; only their acceptance counts towards the [majority].
 */
public data class PromotionPlan(
    val proposal: TermProposal,
    val members: List<MemberName>,
    val candidates: Set<MemberName>,
    val majority: Int,
)

/** What a promotion asks its runner to do. */
public sealed interface PromotionEffect {
    /** Asks [member] to accept the plan's proposal. */
    public data class Accept(val member: MemberName) : PromotionEffect

    /** Makes [member] the primary. */
    public data class Promote(val member: MemberName) : PromotionEffect
}

/** What a promotion hears. */
public sealed interface PromotionEvent {
    /** Answer of [member] to the proposal. */
    public data class AcceptAnswered(val member: MemberName, val result: Either<MemberFailure, MemberReport>) :
        PromotionEvent

    /** Answer of [member] to its promotion. */
    public data class PromoteAnswered(val member: MemberName, val result: Either<MemberFailure, MemberReport>) :
        PromotionEvent

    /** Time has passed. */
    public data object TimePassed : PromotionEvent
}

/** Where a promotion stands. */
public sealed interface PromotionState {
    /** Members are asked to accept the term. */
    public data class Asking(
        val accepted: Map<MemberName, MemberReport> = emptyMap(),
        val retries: Map<MemberName, Duration> = emptyMap(),
    ) : PromotionState

    /** [chosen] is told that it is the primary; a lost answer is asked for again at [retryAt]. */
    public data class Promoting(val chosen: MemberName, val retryAt: Duration? = null) : PromotionState

    /** [primary] serves in the term of the plan. */
    public data class Won(val primary: MemberReport) : PromotionState

    /** Another proposer is ahead: a member has accepted [highest]. */
    public data class Lost(val highest: Term) : PromotionState

    /** Too few members answered in time. Nothing is known about the promotion of [chosen], if there was one. */
    public data class Abandoned(val chosen: MemberName?) : PromotionState
}

/** A promotion after an event, and what is to be done next. */
public data class PromotionStep(val promotion: Promotion, val effects: List<PromotionEffect> = emptyList())

/**
 * One attempt to give a group a primary in a new term.
 *
 * A majority of the members accepts the term, which stops them from confirming writes of earlier ones; among those
 * the member with the highest last entry is promoted, since every acknowledged write is held by one of any majority.
 * A member accepts a term from one proposer only and an attempt promotes one member only, so that a term has at most
 * one primary. An attempt ends at [deadline]; the next one takes a higher term.
 */
public data class Promotion(
    val plan: PromotionPlan,
    val state: PromotionState,
    private val timing: GroupTiming,
    private val deadline: Duration,
    private val choose: ChooseMember,
) {
    /** Whether nothing is left to be done. */
    public val isOver: Boolean get() = state !is PromotionState.Asking && state !is PromotionState.Promoting

    /** Returns this promotion after [event], which was observed at [now]. */
    public fun on(event: PromotionEvent, now: Duration): PromotionStep = when (event) {
        is PromotionEvent.AcceptAnswered -> accepted(event, now)
        is PromotionEvent.PromoteAnswered -> promoted(event, now)
        PromotionEvent.TimePassed -> timePassed(now)
    }

    private fun accepted(event: PromotionEvent.AcceptAnswered, now: Duration): PromotionStep {
        val asking = state as? PromotionState.Asking ?: return PromotionStep(this)
        return event.result.fold(
            { failure -> acceptFailed(asking, failure, now) },
            { report -> acceptReported(asking, report) },
        )
    }

    private fun acceptFailed(asking: PromotionState.Asking, failure: MemberFailure, now: Duration): PromotionStep {
        if (failure is MemberFailure.LowerTerm) return to(PromotionState.Lost(failure.acceptedTerm))
        val retryAt = now + timing.retryInterval
        return to(asking.copy(retries = asking.retries + (failure.member to retryAt)))
    }

    private fun acceptReported(asking: PromotionState.Asking, report: MemberReport): PromotionStep {
        if (report.acceptedTerm != plan.proposal.term) return to(PromotionState.Lost(report.acceptedTerm))
        if (report.member !in plan.candidates) return PromotionStep(this)
        val accepted = asking.accepted + (report.member to report)
        if (accepted.size < plan.majority) return to(asking.copy(accepted = accepted))
        val chosen = choose(accepted.values.toList(), plan.members)
        return to(PromotionState.Promoting(chosen), PromotionEffect.Promote(chosen))
    }

    private fun promoted(event: PromotionEvent.PromoteAnswered, now: Duration): PromotionStep {
        val promoting = state as? PromotionState.Promoting ?: return PromotionStep(this)
        if (event.member != promoting.chosen) return PromotionStep(this)
        return event.result.fold(
            { failure -> promoteFailed(promoting, failure, now) },
            { report -> promoteReported(report) },
        )
    }

    private fun promoteFailed(
        promoting: PromotionState.Promoting,
        failure: MemberFailure,
        now: Duration,
    ): PromotionStep {
        if (failure is MemberFailure.LowerTerm) return to(PromotionState.Lost(failure.acceptedTerm))
        return to(promoting.copy(retryAt = now + timing.retryInterval))
    }

    private fun promoteReported(report: MemberReport): PromotionStep {
        val higher = report.acceptedTerm > plan.proposal.term
        return to(if (higher) PromotionState.Lost(report.acceptedTerm) else PromotionState.Won(report))
    }

    private fun timePassed(now: Duration): PromotionStep = when (state) {
        is PromotionState.Asking -> if (now >=
            deadline
        ) {
            to(PromotionState.Abandoned(null))
        } else {
            retryAccepts(state, now)
        }
        is PromotionState.Promoting ->
            if (now >= deadline) to(PromotionState.Abandoned(state.chosen)) else retryPromote(state, now)
        else -> PromotionStep(this)
    }

    private fun retryAccepts(asking: PromotionState.Asking, now: Duration): PromotionStep {
        val due = asking.retries.filterValues { it <= now }.keys
        if (due.isEmpty()) return PromotionStep(this)
        val effects = due.map { PromotionEffect.Accept(it) }
        return PromotionStep(copy(state = asking.copy(retries = asking.retries - due)), effects)
    }

    private fun retryPromote(promoting: PromotionState.Promoting, now: Duration): PromotionStep {
        if (promoting.retryAt == null || promoting.retryAt > now) return PromotionStep(this)
        return to(promoting.copy(retryAt = null), PromotionEffect.Promote(promoting.chosen))
    }

    private fun to(next: PromotionState, vararg effects: PromotionEffect): PromotionStep =
        PromotionStep(copy(state = next), effects.toList())

    public companion object {
        /** Starts an attempt at [now] by asking every member to accept the term. */
        public fun start(
            plan: PromotionPlan,
            now: Duration,
            timing: GroupTiming,
            choose: ChooseMember = ::mostComplete,
        ): PromotionStep {
            val deadline = now + timing.promotionDeadline
            val promotion = Promotion(plan, PromotionState.Asking(), timing, deadline, choose)
            return PromotionStep(promotion, plan.members.map { PromotionEffect.Accept(it) })
        }
    }
}

/** Chooses the member with the highest last entry; the most preferred one among equals. */
public fun mostComplete(accepted: List<MemberReport>, preference: List<MemberName>): MemberName {
    val highest = accepted.maxOf { it.lastEntry }
    return accepted.filter { it.lastEntry == highest }.minBy { preference.indexOf(it.member) }.member
}
