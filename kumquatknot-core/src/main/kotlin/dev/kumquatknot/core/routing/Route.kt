package dev.kumquatknot.core.routing

import dev.kumquatknot.core.history.HistoryPoint
import dev.kumquatknot.core.identity.MemberName
import dev.kumquatknot.core.member.MemberRole
import dev.kumquatknot.core.outcome.FailureReason
import kotlin.time.Duration

/**
 * One member to try.
 *
 * @property required point that the member must have reached; its answer counts only if its own point covers this.
 * @property waitUntil moment until which the request waits, without a slot or connection, for the member to be seen at
 * [required]; null where the member is known to have reached it.
 * @property standingCheck whether the answer counts only after a majority was seen to stand in the member's term.
 */
public data class RouteStep(
    val member: MemberName,
    val role: MemberRole,
    val required: HistoryPoint,
    val waitUntil: Duration? = null,
    val standingCheck: Boolean = false,
)

/** Where a request is to run. */
public sealed interface Route {
    /** The members to try in order; a later one where an earlier one has not reached its point or ran nothing. */
    public data class Serve(val steps: List<RouteStep>) : Route

    /** No member can run the request now. */
    public data class Refuse(val reason: FailureReason, val retryAfter: Duration) : Route
}
