package dev.kumquatknot.proxy.interactive

import dev.kumquatknot.core.admission.WorkItem
import dev.kumquatknot.core.customer.CustomerName
import dev.kumquatknot.core.databasegroup.Confirmation
import dev.kumquatknot.core.history.HistoryPoint
import dev.kumquatknot.core.identity.KindName
import dev.kumquatknot.core.identity.RequestId
import dev.kumquatknot.core.identity.TeamName
import dev.kumquatknot.core.interactive.InteractiveRoute
import dev.kumquatknot.core.interactive.MemberCommand
import dev.kumquatknot.core.interactive.RejectionCode
import dev.kumquatknot.core.interactive.StatementAccess
import dev.kumquatknot.core.interactive.StatementPlan
import dev.kumquatknot.core.interactive.StatementResult
import kotlin.time.Duration

/**
 * A caller's statement that needs a member, with the session values under which it runs.
 *
 * @property customer the customer of the caller; null if callers need no key.
 * @property plan the prepared statement to execute; null if [text] is the whole statement.
 * @property text the statement, or the arguments of the plan.
 * @property lastWritten newest point that the session has written; null if it wrote nothing.
 */
internal data class StatementCall(
    val request: RequestId,
    val route: InteractiveRoute,
    val customer: CustomerName?,
    val access: StatementAccess,
    val plan: StatementPlan?,
    val text: String,
    val values: Map<String, String>,
    val lastWritten: HistoryPoint?,
    val startedAt: Duration,
) {
    val deadline: Duration get() = startedAt + route.statementTimeout

    /**
     * Time until which the statement waits for an unknown primary; after that it is rejected and the caller may retry.
     */
    val waitsForPrimaryUntil: Duration get() = startedAt + route.target * PRIMARY_WAIT_SHARE

    /** Returns the command that runs the statement at a member that must have reached [after]. */
    fun command(after: HistoryPoint?): MemberCommand =
        if (plan == null) {
            MemberCommand.Run(request, access, text, after)
        } else {
            MemberCommand.Execute(request, access, plan.sharedName, text, after)
        }

    /** Returns the admission request of the statement. */
    fun workItem(): WorkItem = WorkItem(
        id = request,
        team = TeamName(customer?.value ?: route.group.value),
        kind = KindName(route.name),
        rank = route.rank,
        floorPercent = 0,
        target = route.target,
        deadline = deadline,
    )

    private companion object {
        /** Share of the target latency; leaves time for the statement itself and for a retry at another member. */
        const val PRIMARY_WAIT_SHARE = 0.25
    }
}

/**
 * Whether a statement that was rejected with [code] may be sent to a member again: it certainly did not run, or is a
 * read.
 */
internal fun mayRetry(code: RejectionCode, access: StatementAccess): Boolean =
    code.notRun &&
        code != RejectionCode.MALFORMED &&
        code != RejectionCode.TOO_LARGE ||
        access == StatementAccess.READ &&
        (code == RejectionCode.FAILED || code == RejectionCode.TIMED_OUT)

/**
 * Returns the result to tell the caller of a write that was committed at [point]: unless a replica has received it, a
 * promotion may roll it back, so its outcome is in doubt.
 */
internal fun StatementResult.confirmedBy(confirmation: Confirmation, point: HistoryPoint): StatementResult =
    when (confirmation) {
        Confirmation.CONFIRMED -> this
        Confirmation.SUPERSEDED ->
            StatementResult.Rejected(RejectionCode.IN_DOUBT, "the primary was replaced after the commit at $point")
        Confirmation.DEADLINE_PASSED ->
            StatementResult.Rejected(RejectionCode.IN_DOUBT, "no replica received the commit at $point in time")
    }
