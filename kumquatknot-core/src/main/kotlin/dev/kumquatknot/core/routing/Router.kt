package dev.kumquatknot.core.routing

import dev.kumquatknot.core.history.HistoryPoint
import dev.kumquatknot.core.member.MemberRole
import dev.kumquatknot.core.outcome.FailureReason
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * How a [Router] weighs members.
 *
 * @property catchUpShare part of a read's target that it may wait for a replica before it goes to the primary.
 * @property catchUpMargin added to the time that a replica is expected to need, which is an estimate.
 * @property primaryShare part of a read's target by which a replica may answer later than the primary and still be
 * preferred, because the primary's slots are needed for changes.
 * @property jitter greatest relative change of a cost at random, so that VMs with the same facts spread their load.
 * @property retryAfter when a caller comes back whose request no member can run now.
 */
public data class RoutingPolicy(
    val catchUpShare: Double = 0.5,
    val catchUpMargin: Duration = 5.milliseconds,
    val primaryShare: Double = 0.5,
    val jitter: Double = 0.2,
    val retryAfter: Duration = 500.milliseconds,
)

/**
 * Decides which members may run a request and in which order they are tried.
 *
 * A read goes to the replica that is expected to answer first among those that have, or will soon have, reached the
 * point it needs. It waits a bounded time for a replica to catch up rather than take a slot of the primary. A member
 * that is leaving, unreachable or behind the request's term is never named.
 *
 * @param random numbers between 0 and 1.
 */
public class Router(private val random: () -> Double, private val policy: RoutingPolicy = RoutingPolicy()) {
    /** Returns the route of a request with these [needs]. */
    public fun route(needs: RequestNeeds, facts: GroupSnapshot, now: Duration): Route = when (needs) {
        is RequestNeeds.Write -> toPrimary(needs, facts, standingCheck = false)
        is RequestNeeds.Read ->
            if (needs.unresolved) toPrimary(needs, facts, standingCheck = true) else read(needs, facts, now)
    }

    private fun toPrimary(needs: RequestNeeds, facts: GroupSnapshot, standingCheck: Boolean): Route {
        if (needs.sessionPoint.term > facts.term) return Route.Refuse(FailureReason.SUPERSEDED, policy.retryAfter)
        val primary = facts.servingPrimary() ?: return Route.Refuse(FailureReason.NO_PRIMARY, policy.retryAfter)
        return Route.Serve(listOf(primary.step(needs.sessionPoint, standingCheck)))
    }

    private fun read(needs: RequestNeeds.Read, facts: GroupSnapshot, now: Duration): Route {
        val required = requiredPoint(needs, facts, now)
        val replicas = if (required == null) emptyList() else replicas(needs, required, facts, now)
        val steps = (replicas + listOfNotNull(primary(needs, facts))).sortedBy { it.cost }.map { it.step }
        if (steps.isNotEmpty()) return Route.Serve(steps)
        val reason = if (facts.servingPrimary() == null) FailureReason.NO_PRIMARY else FailureReason.NOT_FRESH_ENOUGH
        return Route.Refuse(reason, policy.retryAfter)
    }

    /** Returns the point that a replica must have reached; null where no point proves the age that is asked for. */
    private fun requiredPoint(needs: RequestNeeds.Read, facts: GroupSnapshot, now: Duration): HistoryPoint? {
        val age = needs.maximumAge ?: return needs.sessionPoint
        return facts.pointProving(age, now)?.let { maxOf(it, needs.sessionPoint) }
    }

    private fun replicas(
        needs: RequestNeeds.Read,
        required: HistoryPoint,
        facts: GroupSnapshot,
        now: Duration,
    ): List<Candidate> = facts.members
        .filter { it.availability == MemberAvailability.AVAILABLE && it.member != facts.primary }
        .mapNotNull { replica(it, needs, required, facts, now) }

    private fun replica(
        member: MemberSnapshot,
        needs: RequestNeeds.Read,
        required: HistoryPoint,
        facts: GroupSnapshot,
        now: Duration,
    ): Candidate? {
        if (member.lastEntry?.covers(required) == true) {
            return Candidate(RouteStep(member.member, MemberRole.REPLICA, required), member.cost())
        }
        val patience = patience(member, needs, facts, now)
        val catchUp = catchUpTime(member, required, facts, now) ?: return null
        if (catchUp > patience) return null
        return Candidate(
            RouteStep(member.member, MemberRole.REPLICA, required, waitUntil = now + patience),
            catchUp + policy.catchUpMargin + member.cost(),
        )
    }

    private fun primary(needs: RequestNeeds.Read, facts: GroupSnapshot): Candidate? {
        if (needs.sessionPoint.term > facts.term) return null
        val primary = facts.servingPrimary() ?: return null
        val step = primary.step(needs.sessionPoint, standingCheck = needs.maximumAge != null)
        return Candidate(step, primary.cost() + needs.target * policy.primaryShare)
    }

    /** Time for which it is worth waiting for [member] to catch up. */
    private fun patience(
        member: MemberSnapshot,
        needs: RequestNeeds.Read,
        facts: GroupSnapshot,
        now: Duration,
    ): Duration {
        val untilDeadline = needs.deadline - now - member.roundTrip - member.load.expectedAnswer
        if (facts.servingPrimary() == null) return untilDeadline
        return minOf(untilDeadline, needs.target * policy.catchUpShare)
    }

    /**
     * Time until [member] is expected to reach [required]; null where nothing is known about its lag. What a session
     * has seen acknowledged had reached a replica by then, and so is at least as old as the shortest lag.
     */
    private fun catchUpTime(member: MemberSnapshot, required: HistoryPoint, facts: GroupSnapshot, now: Duration): Duration? {
        if (required.term > facts.term) return null
        val lag = member.lag ?: return null
        val writtenBefore = facts.provenPoints.firstOrNull { it.point.covers(required) }?.seenAt ?: now
        val shortestLag = facts.members.filter { it.member != facts.primary }.mapNotNull { it.lag }.min()
        return maxOf(Duration.ZERO, lag - maxOf(now - writtenBefore, shortestLag))
    }

    private fun MemberSnapshot.cost(): Duration = (roundTrip + load.expectedAnswer) * (1.0 + policy.jitter * random())

    private fun MemberSnapshot.step(required: HistoryPoint, standingCheck: Boolean) =
        RouteStep(member, MemberRole.PRIMARY, required, standingCheck = standingCheck)

    private fun GroupSnapshot.servingPrimary(): MemberSnapshot? =
        members.firstOrNull { it.member == primary && it.availability == MemberAvailability.AVAILABLE }

    private data class Candidate(val step: RouteStep, val cost: Duration)
}
