package dev.kumquatknot.core.databasegroup

import arrow.core.Either
import dev.kumquatknot.core.history.Term
import dev.kumquatknot.core.identity.MemberName
import dev.kumquatknot.core.member.MemberFailure
import dev.kumquatknot.core.member.MemberReport
import dev.kumquatknot.core.member.TermProposal
import kotlin.time.Duration

/** Selects the member to promote among those that have accepted the term; the list is not empty. */
public typealias MemberSelector = (accepted: List<MemberReport>, preference: List<MemberName>) -> MemberName

/**
 * Goal of one promotion attempt.
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

/** Call that a promotion asks its runner to make. */
public sealed interface PromotionEffect {
    /** Asks [member] to accept the plan's proposal. */
    public data class Accept(val member: MemberName) : PromotionEffect

    /** Makes [member] the primary. */
    public data class Promote(val member: MemberName) : PromotionEffect
}

/** Input of a promotion. */
public sealed interface PromotionEvent {
    /** Answer of [member] to the proposal. */
    public data class AcceptAnswered(val member: MemberName, val result: Either<MemberFailure, MemberReport>) :
        PromotionEvent

    /** Answer of [member] to its promotion. */
    public data class PromoteAnswered(val member: MemberName, val result: Either<MemberFailure, MemberReport>) :
        PromotionEvent

    /** Time has passed; due retries and the deadline are checked. */
    public data object Tick : PromotionEvent
}

/** State of a promotion. */
public sealed interface PromotionState {
    /** Members are being asked to accept the term; failed calls are repeated at the time in [retries]. */
    public data class RequestingAcceptance(
        val accepted: Map<MemberName, MemberReport> = emptyMap(),
        val retries: Map<MemberName, Duration> = emptyMap(),
    ) : PromotionState

    /** [chosen] is being promoted; a call without an answer is repeated at [retryAt]. */
    public data class Promoting(val chosen: MemberName, val retryAt: Duration? = null) : PromotionState

    /** [primary] serves as primary in the term of the plan. */
    public data class Won(val primary: MemberReport) : PromotionState

    /** Another proposer is ahead: a member has already accepted the term [highest]. */
    public data class Lost(val highest: Term) : PromotionState

    /** The deadline passed without enough answers. Whether [chosen] was promoted is unknown, if one was chosen. */
    public data class Abandoned(val chosen: MemberName?) : PromotionState
}

/** A promotion after an event, and the calls to make next. */
public data class PromotionStep(val promotion: Promotion, val effects: List<PromotionEffect> = emptyList())

/**
 * State machine of one attempt to promote a primary for a group in a new term.
 *
 * A majority of the members must accept the term, after which they no longer confirm writes of earlier terms. Of these
 * members the one with the highest last entry is promoted, since any majority has a member that holds a given
 * acknowledged write. A member accepts a term from one proposer only, and an attempt promotes one member only, so a
 * term has at most one primary. An attempt ends at [deadline]; the next one uses a higher term.
 */
public data class Promotion(
    val plan: PromotionPlan,
    val state: PromotionState,
    private val timing: GroupTiming,
    private val deadline: Duration,
    private val choose: MemberSelector,
) {
    /** Whether the attempt was won, lost or abandoned. */
    public val isFinished: Boolean
        get() = state !is PromotionState.RequestingAcceptance && state !is PromotionState.Promoting

    /** Returns this promotion after [event], which was observed at [now]. */
    public fun on(event: PromotionEvent, now: Duration): PromotionStep = when (event) {
        is PromotionEvent.AcceptAnswered -> onAcceptAnswered(event, now)
        is PromotionEvent.PromoteAnswered -> onPromoteAnswered(event, now)
        PromotionEvent.Tick -> onTick(now)
    }

    private fun onAcceptAnswered(event: PromotionEvent.AcceptAnswered, now: Duration): PromotionStep {
        val requesting = state as? PromotionState.RequestingAcceptance ?: return PromotionStep(this)
        return event.result.fold(
            { failure -> onAcceptFailure(requesting, failure, now) },
            { report -> recordAcceptance(requesting, report) },
        )
    }

    private fun onAcceptFailure(
        requesting: PromotionState.RequestingAcceptance,
        failure: MemberFailure,
        now: Duration,
    ): PromotionStep {
        if (failure is MemberFailure.LowerTerm) return transitionTo(PromotionState.Lost(failure.acceptedTerm))
        val retryAt = now + timing.retryInterval
        return transitionTo(requesting.copy(retries = requesting.retries + (failure.member to retryAt)))
    }

    private fun recordAcceptance(requesting: PromotionState.RequestingAcceptance, report: MemberReport): PromotionStep {
        if (report.acceptedTerm != plan.proposal.term) return transitionTo(PromotionState.Lost(report.acceptedTerm))
        if (report.member !in plan.candidates) return PromotionStep(this)
        val accepted = requesting.accepted + (report.member to report)
        if (accepted.size < plan.majority) return transitionTo(requesting.copy(accepted = accepted))
        val chosen = choose(accepted.values.toList(), plan.members)
        return transitionTo(PromotionState.Promoting(chosen), PromotionEffect.Promote(chosen))
    }

    private fun onPromoteAnswered(event: PromotionEvent.PromoteAnswered, now: Duration): PromotionStep {
        val promoting = state as? PromotionState.Promoting ?: return PromotionStep(this)
        if (event.member != promoting.chosen) return PromotionStep(this)
        return event.result.fold(
            { failure -> onPromoteFailure(promoting, failure, now) },
            { report -> recordPromotion(report) },
        )
    }

    private fun onPromoteFailure(
        promoting: PromotionState.Promoting,
        failure: MemberFailure,
        now: Duration,
    ): PromotionStep {
        if (failure is MemberFailure.LowerTerm) return transitionTo(PromotionState.Lost(failure.acceptedTerm))
        return transitionTo(promoting.copy(retryAt = now + timing.retryInterval))
    }

    private fun recordPromotion(report: MemberReport): PromotionStep {
        val higher = report.acceptedTerm > plan.proposal.term
        return transitionTo(if (higher) PromotionState.Lost(report.acceptedTerm) else PromotionState.Won(report))
    }

    private fun onTick(now: Duration): PromotionStep = when (state) {
        is PromotionState.RequestingAcceptance -> if (now >=
            deadline
        ) {
            transitionTo(PromotionState.Abandoned(null))
        } else {
            retryAccepts(state, now)
        }
        is PromotionState.Promoting ->
            if (now >= deadline) transitionTo(PromotionState.Abandoned(state.chosen)) else retryPromote(state, now)
        else -> PromotionStep(this)
    }

    private fun retryAccepts(requesting: PromotionState.RequestingAcceptance, now: Duration): PromotionStep {
        val due = requesting.retries.filterValues { it <= now }.keys
        if (due.isEmpty()) return PromotionStep(this)
        val effects = due.map { PromotionEffect.Accept(it) }
        return PromotionStep(copy(state = requesting.copy(retries = requesting.retries - due)), effects)
    }

    private fun retryPromote(promoting: PromotionState.Promoting, now: Duration): PromotionStep {
        if (promoting.retryAt == null || promoting.retryAt > now) return PromotionStep(this)
        return transitionTo(promoting.copy(retryAt = null), PromotionEffect.Promote(promoting.chosen))
    }

    private fun transitionTo(next: PromotionState, vararg effects: PromotionEffect): PromotionStep =
        PromotionStep(copy(state = next), effects.toList())

    public companion object {
        /** Starts an attempt at [now] by asking every member to accept the term. */
        public fun start(
            plan: PromotionPlan,
            now: Duration,
            timing: GroupTiming,
            choose: MemberSelector = ::mostCompleteMember,
        ): PromotionStep {
            val deadline = now + timing.promotionDeadline
            val promotion = Promotion(plan, PromotionState.RequestingAcceptance(), timing, deadline, choose)
            return PromotionStep(promotion, plan.members.map { PromotionEffect.Accept(it) })
        }
    }
}

/** Selects the member with the highest last entry, and the most preferred one among equals. */
public fun mostCompleteMember(accepted: List<MemberReport>, preference: List<MemberName>): MemberName {
    val highest = accepted.maxOf { it.lastEntry }
    return accepted.filter { it.lastEntry == highest }.minBy { preference.indexOf(it.member) }.member
}
