package dev.kumquatknot.core.routing

import dev.kumquatknot.core.history.HistoryPoint
import dev.kumquatknot.core.identity.MemberName
import dev.kumquatknot.core.member.MemberRole
import dev.kumquatknot.core.outcome.FailureReason
import kotlin.time.Duration

/**
 * One member at which a request may be tried.
 *
 * @property required point that the member must have reached; its response is valid only if its own point covers this.
 * @property waitUntil time until which the request waits, without a slot or connection, for the member to be observed
 * at [required]; null if the member is known to have reached it.
 * @property majorityCheck whether the response is valid only after a majority has been seen in the member's term.
 */
public data class RouteStep(
    val member: MemberName,
    val role: MemberRole,
    val required: HistoryPoint,
    val waitUntil: Duration? = null,
    val majorityCheck: Boolean = false,
)

/** Routing decision for one request. */
public sealed interface Route {
    /** The members to try in order; the next one is tried if a member lacks the point or did not run the request. */
    public data class Serve(val steps: List<RouteStep>) : Route

    /** No member can run the request now; the caller may retry after [retryAfter]. */
    public data class Refuse(val reason: FailureReason, val retryAfter: Duration) : Route
}
