package dev.kumquatknot.core.routing

import dev.kumquatknot.core.history.HistoryPoint
import dev.kumquatknot.core.member.MemberRole
import dev.kumquatknot.core.outcome.FailureReason
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Weights and limits for the routing decisions of a [Router].
 *
 * @property catchUpTargetShare share of a read's target for which it may wait for a replica to catch up while
 * there is a primary.
 * @property catchUpMargin safety margin added to the estimated catch-up time of a replica.
 * @property primaryAvoidanceTargetShare share of a read's target by which a replica may respond later than the
 * primary and still be preferred, because the primary's slots are needed for writes.
 * @property jitter maximum relative random increase of a cost, so that VMs with the same snapshot spread their load.
 * @property retryAfter time after which a caller may retry a request that no member can run now.
 */
public data class RoutingPolicy(
    val catchUpTargetShare: Double = 0.5,
    val catchUpMargin: Duration = 5.milliseconds,
    val primaryAvoidanceTargetShare: Double = 0.5,
    val jitter: Double = 0.2,
    val retryAfter: Duration = 500.milliseconds,
)

/**
 * Decides which members may run a request and in which order they are tried.
 *
 * A read goes to the replica that is expected to respond first among those that have reached the required point or
 * are expected to reach it in time. It waits a bounded time for a replica to catch up instead of using a slot of the
 * primary. A member that is leaving, unreachable or behind the request's term is never part of a route.
 *
 * @param random returns numbers between 0 and 1, used as jitter.
 */
public class Router(private val random: () -> Double, private val policy: RoutingPolicy = RoutingPolicy()) {
    /** Returns the route of a request with the given [needs], based on the state of the group at [now]. */
    public fun route(needs: RequestNeeds, group: GroupSnapshot, now: Duration): Route = when (needs) {
        is RequestNeeds.Write -> toPrimary(needs, group, majorityCheck = false)
        is RequestNeeds.Read ->
            if (needs.unresolved) toPrimary(needs, group, majorityCheck = true) else read(needs, group, now)
    }

    private fun toPrimary(needs: RequestNeeds, group: GroupSnapshot, majorityCheck: Boolean): Route {
        if (needs.sessionPoint.term > group.term) return Route.Refuse(FailureReason.SUPERSEDED, policy.retryAfter)
        val primary = group.servingPrimary() ?: return Route.Refuse(FailureReason.NO_PRIMARY, policy.retryAfter)
        return Route.Serve(listOf(primary.step(needs.sessionPoint, majorityCheck)))
    }

    private fun read(needs: RequestNeeds.Read, group: GroupSnapshot, now: Duration): Route {
        val required = requiredPoint(needs, group, now)
        val replicas = if (required == null) emptyList() else replicas(needs, required, group, now)
        val steps = (replicas + listOfNotNull(primary(needs, group))).sortedBy { it.cost }.map { it.step }
        if (steps.isNotEmpty()) return Route.Serve(steps)
        val reason = if (group.servingPrimary() == null) FailureReason.NO_PRIMARY else FailureReason.NOT_FRESH_ENOUGH
        return Route.Refuse(reason, policy.retryAfter)
    }

    /** Returns the point that a replica must have reached; null if no known point proves the requested maximum age. */
    private fun requiredPoint(needs: RequestNeeds.Read, group: GroupSnapshot, now: Duration): HistoryPoint? {
        val age = needs.maximumAge ?: return needs.sessionPoint
        return group.oldestPointWithinAge(age, now)?.let { maxOf(it, needs.sessionPoint) }
    }

    private fun replicas(
        needs: RequestNeeds.Read,
        required: HistoryPoint,
        group: GroupSnapshot,
        now: Duration,
    ): List<Candidate> = group.members
        .filter { it.availability == MemberAvailability.AVAILABLE && it.member != group.primary }
        .mapNotNull { replica(it, needs, required, group, now) }

    private fun replica(
        member: MemberSnapshot,
        needs: RequestNeeds.Read,
        required: HistoryPoint,
        group: GroupSnapshot,
        now: Duration,
    ): Candidate? {
        if (member.lastEntry?.covers(required) == true) {
            return Candidate(RouteStep(member.member, MemberRole.REPLICA, required), member.cost())
        }
        val maximumWait = maximumWait(member, needs, group, now)
        val catchUp = catchUpTime(member, required, group, now) ?: return null
        if (catchUp > maximumWait) return null
        return Candidate(
            RouteStep(member.member, MemberRole.REPLICA, required, waitUntil = now + maximumWait),
            catchUp + policy.catchUpMargin + member.cost(),
        )
    }

    private fun primary(needs: RequestNeeds.Read, group: GroupSnapshot): Candidate? {
        if (needs.sessionPoint.term > group.term) return null
        val primary = group.servingPrimary() ?: return null
        val step = primary.step(needs.sessionPoint, majorityCheck = needs.maximumAge != null)
        return Candidate(step, primary.cost() + needs.target * policy.primaryAvoidanceTargetShare)
    }

    /** Maximum time that the read may wait for [member] to catch up. */
    private fun maximumWait(
        member: MemberSnapshot,
        needs: RequestNeeds.Read,
        group: GroupSnapshot,
        now: Duration,
    ): Duration {
        val untilDeadline = needs.deadline - now - member.roundTrip - member.load.expectedAnswer
        if (group.servingPrimary() == null) return untilDeadline
        return minOf(untilDeadline, needs.target * policy.catchUpTargetShare)
    }

    /**
     * Expected time until [member] reaches [required]; null if its lag is unknown or the point is of a later term. A
     * write is acknowledged only after it has reached a replica, so what a session has observed is at least as old as
     * the shortest lag.
     */
    private fun catchUpTime(
        member: MemberSnapshot,
        required: HistoryPoint,
        group: GroupSnapshot,
        now: Duration,
    ): Duration? {
        if (required.term > group.term) return null
        val lag = member.lag ?: return null
        val writtenBefore = group.provenPoints.firstOrNull { it.point.covers(required) }?.seenAt ?: now
        val shortestLag = group.members.filter { it.member != group.primary }.mapNotNull { it.lag }.min()
        return maxOf(Duration.ZERO, lag - maxOf(now - writtenBefore, shortestLag))
    }

    private fun MemberSnapshot.cost(): Duration = (roundTrip + load.expectedAnswer) * (1.0 + policy.jitter * random())

    private fun MemberSnapshot.step(required: HistoryPoint, majorityCheck: Boolean) =
        RouteStep(member, MemberRole.PRIMARY, required, majorityCheck = majorityCheck)

    private fun GroupSnapshot.servingPrimary(): MemberSnapshot? =
        members.firstOrNull { it.member == primary && it.availability == MemberAvailability.AVAILABLE }

    private data class Candidate(val step: RouteStep, val cost: Duration)
}
