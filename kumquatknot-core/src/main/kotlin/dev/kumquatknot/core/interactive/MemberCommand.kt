package dev.kumquatknot.core.interactive

import dev.kumquatknot.core.history.HistoryPoint
import dev.kumquatknot.core.history.Term
import dev.kumquatknot.core.identity.RequestId

/** A command on a connection to a member. Each one gets exactly one [MemberReply], in order. */
public sealed interface MemberCommand {
    /** Opens a transaction; rejected unless the member has reached [after]. */
    public data class Begin(val readOnly: Boolean, val after: HistoryPoint? = null) : MemberCommand

    /** Runs a caller's statement unchanged; rejected unless the member has reached [after]. */
    public data class Run(
        val request: RequestId,
        val access: StatementAccess,
        val text: String,
        val after: HistoryPoint? = null,
    ) : MemberCommand

    /**
     * Runs the plan that is prepared on this connection under [name]; rejected unless the member has reached [after].
     */
    public data class Execute(
        val request: RequestId,
        val access: StatementAccess,
        val name: String,
        val arguments: String,
        val after: HistoryPoint? = null,
    ) : MemberCommand

    /** Commits a caller's transaction with the caller's own statement [text]. */
    public data class Commit(val request: RequestId, val text: String) : MemberCommand

    /** Rolls back the open transaction. */
    public data object Rollback : MemberCommand

    /** Sets a session variable on this connection. */
    public data class SetValue(val name: String, val value: String) : MemberCommand

    /** Prepares [plan] under [name] on this connection. */
    public data class Prepare(val name: String, val plan: StatementPlan) : MemberCommand

    /** Clears all session variables and prepared plans of this connection. */
    public data object Reset : MemberCommand

    /** A command that the member answers with its [ReplicationReport]. */
    public sealed interface Reporting : MemberCommand

    /** Requests the member's report. */
    public data object Report : Reporting

    /** A command that begins or ends a member's part in the fence of a promotion. */
    public sealed interface Fence : Reporting

    /** Stops a replica from receiving commits; [term] must be above every term of the group. */
    public data class Pause(val term: Term) : Fence

    /** Makes a paused replica receive commits again. */
    public data object Resume : Fence

    /** Makes a primary whose term is below [term] a replica. */
    public data class StepDown(val term: Term) : Fence
}

/** Transaction state of a session after a statement. */
public enum class TransactionState {
    IDLE,
    OPEN,
    FAILED,
}

/** Why a statement was rejected. [notRun] is true if the code proves that the statement did not run. */
public enum class RejectionCode(public val notRun: Boolean) {
    BUSY(true),
    UNKNOWN_PLAN(true),
    LAGGING(true),
    READ_ONLY(true),
    WRONG_MEMBER(true),
    TOO_MANY_CONNECTIONS(true),
    ABORTED(true),
    UNKNOWN_DATABASE(true),
    UNAUTHENTICATED(true),
    MALFORMED(true),
    TOO_LARGE(true),
    FAILED(false),
    TIMED_OUT(false),
    IN_DOUBT(false),
    OTHER(false),
}

/** Result of a statement. */
public sealed interface StatementResult {
    /** The statement succeeded; [signature] comes from the member and is null if no member was involved. */
    public data class Completed(val signature: String?) : StatementResult

    /** The statement was rejected. */
    public data class Rejected(val code: RejectionCode, val detail: String) : StatementResult
}

/**
 * Reply of a member to one command.
 *
 * @property rows result rows, unchanged.
 * @property point end of the member's log at the time of the reply; null if the reply did not contain it.
 * @property report the member's report, in reply to [MemberCommand.Report].
 */
public data class MemberReply(
    val rows: List<String>,
    val result: StatementResult,
    val state: TransactionState,
    val point: HistoryPoint?,
    val report: ReplicationReport? = null,
) {
    /** Whether the command succeeded. */
    val isCompleted: Boolean get() = result is StatementResult.Completed

    /** Why the command was rejected; null if it succeeded. */
    val rejection: RejectionCode? get() = (result as? StatementResult.Rejected)?.code
}

/** Reply to one statement of a caller. */
public data class SessionReply(
    val rows: List<String>,
    val result: StatementResult,
    val state: TransactionState,
)

/**
 * Replication state that a member reports about itself.
 *
 * @property received end of the received log, which may not be applied yet.
 * @property held term in which the member was told to stop receiving commits; 0 if it was not.
 * @property connections number of open connections from all callers together.
 */
public data class ReplicationReport(
    val primary: Boolean,
    val term: Term,
    val received: HistoryPoint,
    val held: Term,
    val connections: Int,
)
