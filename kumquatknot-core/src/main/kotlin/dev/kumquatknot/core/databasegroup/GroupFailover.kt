package dev.kumquatknot.core.databasegroup

import dev.kumquatknot.core.history.Term
import dev.kumquatknot.core.identity.MemberName
import dev.kumquatknot.core.interactive.MemberCommand
import kotlin.time.Duration

/** Next action in the failover of a group. */
public sealed interface FailoverStep {
    /** Orders a promotion. */
    public data class Promote(val order: FailoverOrder) : FailoverStep

    /** Sends commands to members. Those that stay unanswered are returned again. */
    public data class Send(val commands: Map<MemberName, MemberCommand.Fence>) : FailoverStep

    /**
     * Orders the promotion of the present [primary]. It changes nothing, but its fencing token invalidates earlier
     * orders that have not been carried out.
     */
    public data class Confirm(val primary: MemberName) : FailoverStep
}

/** State of a group's members as one VM sees it. */
public data class ObservedGroup(
    val members: List<ObservedMember>,
    val primary: MemberName?,
    val isProved: Boolean,
    val replication: ObservedReplication = ObservedReplication(),
    val replicationStalledSince: Duration? = null,
)

/**
 * Replaces the primary of one group: decides when, and with synchronous replication erects a [PromotionFence] before
 * the order and lifts it once the promotion has taken effect or can't any more.
 *
 * A fence must outlast its order, since an order that stays unanswered may be carried out seconds later. It is lifted
 * without a promotion only if nothing was ordered, or after another order has invalidated the former ones.
 *
 * Confined to one thread.
 */
public class GroupFailover(
    timing: FailoverTiming = FailoverTiming(),
    private val fenceTiming: FenceTiming = FenceTiming(),
) {
    private val decision = FailoverDecision(timing)
    private val foreignPauses = ForeignPauses(fenceTiming)
    private var fence: PromotionFence? = null
    private var release: FenceRelease? = null

    /** The last order that may still be carried out, also long after its time; null if there is none. */
    private var openOrder: OpenOrder? = null
    private var nextFenceAt = -Duration.INFINITE

    /** Replicas to which a pause was sent and that have not answered a resumption since. */
    private val pausedMembers = HashSet<MemberName>()

    /** Why a new primary is needed while no member may be promoted yet; null if none is needed or one was ordered. */
    public val unmetReason: FailoverReason? get() = decision.unmetReason

    /** The member for whose promotion a fence is erected; null if there is none. */
    public val fencedCandidate: MemberName? get() = fence?.candidate

    /** Returns the next action at [now], or null. */
    public fun next(group: ObservedGroup, now: Duration): FailoverStep? {
        if (group.replication.synchronousReplicas == 0) return nextWithoutFence(group, now)
        val primary = group.leader()
        fence?.observe(group.members)
        if (group.isProved) recordLeader(primary)
        val active = fence
        return when {
            decision.isOrderPending(now) -> active?.let { send(it.duePauses(group.members)) }
            active != null -> proceed(active, group, primary, now)
            else -> begin(group, primary, now) ?: findRelease(group, now)?.let { lift(it, group, primary, now) }
        }
    }

    private fun nextWithoutFence(group: ObservedGroup, now: Duration): FailoverStep? {
        if (fence != null) startRelease()
        val order = decide(group, group.primary, now)
        return if (order != null) FailoverStep.Promote(order) else release?.let { lift(it, group, group.primary, now) }
    }

    /** Records that the promotion of [candidate] was ordered at [now]. */
    public fun recordOrder(candidate: MemberName, now: Duration) {
        decision.recordOrder(candidate, now)
        openOrder = OpenOrder(candidate, earlier = openOrder?.copy(earlier = null))
    }

    /** Records that nothing came of the order given last: it was refused, or not sent. */
    public fun recordRefusal() {
        decision.clearOrder()
        openOrder = openOrder?.earlier
    }

    /** Records that the order of [FailoverStep.Confirm] was accepted, so that earlier ones are invalid. */
    public fun recordConfirmation() {
        openOrder = null
        release?.isOrderOpen = false
    }

    /** Records that [member] answered [command] at [now]. */
    public fun recordAnswer(member: MemberName, command: MemberCommand.Fence, now: Duration) {
        if (command is MemberCommand.Resume && fence == null) pausedMembers -= member
        fence?.recordAnswer(member, command, now)
    }

    /**
     * Returns the commands to send when this VM has just lost the lease. Pauses that an order relies on stay: the next
     * holder of the lease lifts them after it has invalidated that order.
     */
    public fun commandsAtLeaseLoss(): Map<MemberName, MemberCommand.Fence> {
        val isOrderOpen = openOrder != null || release?.isOrderOpen == true
        return if (isOrderOpen) emptyMap() else pausedMembers.associateWith { MemberCommand.Resume }
    }

    /** The believed primary, unless it reports that it does not lead. */
    private fun ObservedGroup.leader(): MemberName? = primary.takeIf { name ->
        isProved || members.firstOrNull { it.name == name }?.report?.leads != false
    }

    private fun decide(group: ObservedGroup, primary: MemberName?, now: Duration): FailoverOrder? = decision.decide(
        group.members,
        primary,
        group.isProved,
        now,
        group.replicationStalledSince,
        group.replication,
    )

    /** Ends the fence if another member leads, whether or not this VM has ordered it. */
    private fun recordLeader(primary: MemberName?) {
        val active = fence ?: return
        val isOrdered = openOrder?.candidate == primary
        if (primary == active.primary && !isOrdered || primary == null) return
        if (isOrdered) {
            openOrder = null
            decision.clearOrder()
        }
        startRelease()
    }

    private fun begin(group: ObservedGroup, primary: MemberName?, now: Duration): FailoverStep? {
        val order = decide(group, primary, now) ?: return null
        if (now < nextFenceAt) return null
        release = null
        val started = PromotionFence(order.candidate, primary, order.reason, group.nextTerm(), now, fenceTiming)
        fence = started
        return proceed(started, group, primary, now)
    }

    /** Commands count only with a term above every other one of the group. */
    private fun ObservedGroup.nextTerm(): Term {
        val terms = members.flatMap { listOfNotNull(it.received?.term, it.report?.term, it.report?.held) }
        return (terms.maxOrNull() ?: Term(0)).next()
    }

    private fun proceed(
        active: PromotionFence,
        group: ObservedGroup,
        primary: MemberName?,
        now: Duration,
    ): FailoverStep? {
        // Once the primary was told to step down, it may have done so; only a promotion gives the group a primary.
        val mayEnd = !active.hasStepDown || active.isDefied
        val isReasonGone = mayEnd && decide(group, primary, now) == null && decision.unmetReason == null
        val chosen = if (isReasonGone) null else active.choose(group.members, group.replication, now)
        return when {
            chosen != null -> promote(chosen, active)
            isReasonGone || mayEnd && isTooLate(active, group, now) -> {
                nextFenceAt = now + fenceTiming.retryDelay
                lift(startRelease(), group, primary, now)
            }
            else -> send(active.dueCommands(group.members, now))
        }
    }

    private fun send(commands: Map<MemberName, MemberCommand.Fence>): FailoverStep? {
        pausedMembers += commands.filterValues { it is MemberCommand.Pause }.keys
        return if (commands.isEmpty()) null else FailoverStep.Send(commands)
    }

    private fun promote(chosen: ObservedMember, active: PromotionFence): FailoverStep? =
        chosen.received?.let { FailoverStep.Promote(FailoverOrder(chosen.name, it, active.reason)) }

    /** Whether the fence takes too long while the primary may still serve, or lacks its candidate. */
    private fun isTooLate(active: PromotionFence, group: ObservedGroup, now: Duration): Boolean {
        val isCandidateLost =
            group.members.none { it.name == active.candidate && it.failures < FailoverDecision.MINIMUM_FAILURES }
        return isCandidateLost || now - active.startedAt > fenceTiming.abandonTimeout
    }

    private fun startRelease(): FenceRelease {
        fence = null
        return FenceRelease(isOrderOpen = openOrder != null).also { release = it }
    }

    private fun findRelease(group: ObservedGroup, now: Duration): FenceRelease? {
        release?.let { return it }
        pausedMembers += foreignPauses.find(group, now) ?: return null
        return FenceRelease(isOrderOpen = true).also { release = it }
    }

    private fun lift(current: FenceRelease, group: ObservedGroup, primary: MemberName?, now: Duration): FailoverStep? {
        pausedMembers.retainAll(group.members.map { it.name }.toSet())
        if (pausedMembers.isEmpty()) {
            release = null
            return null
        }
        if (!current.isOrderOpen) return FailoverStep.Send(pausedMembers.associateWith { MemberCommand.Resume })
        if (primary == null || !group.isProved || now < current.nextConfirmationAt) return null
        current.nextConfirmationAt = now + fenceTiming.retryDelay
        return FailoverStep.Confirm(primary)
    }

    private data class OpenOrder(val candidate: MemberName, val earlier: OpenOrder?)

    private class FenceRelease(var isOrderOpen: Boolean) {
        var nextConfirmationAt = -Duration.INFINITE
    }
}

/** Finds replicas that a VM has paused that was stopped or lost the lease before it could lift the pause. */
private class ForeignPauses(private val timing: FenceTiming) {
    private val attempts = HashMap<MemberName, Attempt>()

    /** Returns the paused replicas of [group] to resume at [now]; null if there are none. */
    fun find(group: ObservedGroup, now: Duration): Set<MemberName>? {
        if (!group.isProved) return null
        val paused = group.members.filter { it.name != group.primary && it.isPaused }.map { it.name }.toSet()
        attempts.keys.retainAll(paused)
        // A promotion ends a pause, but a replica reports that only once it follows the new primary.
        paused.forEach { attempts.getOrPut(it) { Attempt(now + timing.foreignPauseDelay, timing.foreignPauseDelay) } }
        val due = attempts.filterValues { now >= it.nextAt }
        due.forEach { (name, attempt) ->
            val delay = minOf(attempt.delay * 2, timing.maximumRetryDelay)
            attempts[name] = Attempt(now + delay, delay)
        }
        return due.keys.takeIf { it.isNotEmpty() }
    }

    private val ObservedMember.isPaused: Boolean
        get() = failingSince == null && report?.isPaused ?: false

    private data class Attempt(val nextAt: Duration, val delay: Duration)
}
