package dev.kumquatknot.proxy.interactive

import dev.kumquatknot.core.admission.WorkItem
import dev.kumquatknot.core.history.HistoryPoint
import dev.kumquatknot.core.identity.KindName
import dev.kumquatknot.core.identity.RequestId
import dev.kumquatknot.core.identity.TeamName
import dev.kumquatknot.core.interactive.ConnectionState
import dev.kumquatknot.core.interactive.InteractiveRoute
import dev.kumquatknot.core.interactive.MemberCommand
import dev.kumquatknot.core.interactive.RejectionCode
import dev.kumquatknot.core.interactive.StatementAccess
import dev.kumquatknot.core.interactive.StatementPlan
import kotlin.time.Duration

/**
 * A caller's statement for a member, with the session values under which it runs.
 *
 * @property plan the prepared statement that it runs; null where [text] is the whole statement.
 * @property text the statement, or the arguments of the plan.
 * @property own newest point that the session has written; null where it wrote nothing.
 */
internal data class StatementCall(
    val request: RequestId,
    val route: InteractiveRoute,
    val access: StatementAccess,
    val plan: StatementPlan?,
    val text: String,
    val values: Map<String, String>,
    val own: HistoryPoint?,
    val startedAt: Duration,
) {
    val deadline: Duration get() = startedAt + route.statementTimeout

    /** Until when the statement waits for a primary to show up; after that its caller had better come again. */
    val waitsForPrimaryUntil: Duration get() = startedAt + route.target * PRIMARY_WAIT_PART

    /** Returns the command that runs the statement at a member that has reached [after]. */
    fun command(after: HistoryPoint?): MemberCommand =
        if (plan == null) {
            MemberCommand.Run(request, access, text, after)
        } else {
            MemberCommand.Execute(request, access, ConnectionState.planName(plan), text, after)
        }

    /** Returns how the statement asks for a slot. */
    fun workItem(): WorkItem = WorkItem(
        id = request,
        team = TeamName(route.group.value),
        kind = KindName(route.name),
        rank = route.rank,
        floorPercent = 0,
        target = route.target,
        deadline = deadline,
    )

    private companion object {
        /** A part that leaves time for the statement itself and for a retry elsewhere. */
        const val PRIMARY_WAIT_PART = 0.25
    }
}

/** Whether a statement that was rejected with [code] may be sent to a member again: it surely did not run. */
internal fun mayRepeat(code: RejectionCode, access: StatementAccess): Boolean =
    code.notRun &&
        code != RejectionCode.MALFORMED &&
        code != RejectionCode.TOO_LARGE ||
        access == StatementAccess.READ &&
        (code == RejectionCode.FAILED || code == RejectionCode.TIMED_OUT)
