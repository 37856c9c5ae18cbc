package dev.kumquatknot.core.interactive

import dev.kumquatknot.core.history.HistoryPoint
import dev.kumquatknot.core.history.Term
import dev.kumquatknot.core.identity.RequestId

/** One command on a connection to a member. Each gets exactly one [MemberReply], in order. */
public sealed interface MemberCommand {
    /** Opens a transaction; refused unless the member has reached [after]. */
    public data class Begin(val readOnly: Boolean, val after: HistoryPoint? = null) : MemberCommand

    /** Runs a caller's statement unchanged; refused unless the member has reached [after]. */
    public data class Run(
        val request: RequestId,
        val access: StatementAccess,
        val text: String,
        val after: HistoryPoint? = null,
    ) : MemberCommand

    /** Runs the plan that this connection knows as [name]. */
    public data class Execute(
        val request: RequestId,
        val access: StatementAccess,
        val name: String,
        val arguments: String,
        val after: HistoryPoint? = null,
    ) : MemberCommand

    /** Commits a caller's transaction. */
    public data class Commit(val request: RequestId, val text: String) : MemberCommand

    /** Rolls the open transaction back. */
    public data object Rollback : MemberCommand

    /** Sets a session value on this connection. */
    public data class SetValue(val name: String, val value: String) : MemberCommand

    /** Prepares [plan] under [name] on this connection. */
    public data class Prepare(val name: String, val plan: StatementPlan) : MemberCommand

    /** Forgets all values and plans of this connection. */
    public data object Reset : MemberCommand

    /** Asks the member for its role and positions. */
    public data object Report : MemberCommand
}

/** State of a session after a statement. */
public enum class TransactionState {
    IDLE,
    OPEN,
    FAILED,
}

/** Why a statement was rejected. [notRun] tells whether that proves that it did not run. */
public enum class RejectionCode(public val notRun: Boolean) {
    BUSY(true),
    UNKNOWN_PLAN(true),
    LAGGING(true),
    READ_ONLY(true),
    WRONG_MEMBER(true),
    TOO_MANY_CONNECTIONS(true),
    ABORTED(true),
    UNKNOWN_DATABASE(true),
    MALFORMED(true),
    TOO_LARGE(true),
    FAILED(false),
    TIMED_OUT(false),
    IN_DOUBT(false),
    OTHER(false),
}

/** How a statement ended. */
public sealed interface StatementResult {
    /** It succeeded; [signature] is the member's, or null where no member took part. */
    public data class Completed(val signature: String?) : StatementResult

    /** It was rejected. */
    public data class Rejected(val code: RejectionCode, val detail: String) : StatementResult
}

/**
 * Reply of a member to one command.
 *
 * @property rows the rows as they came.
 * @property point end of the member's log when it replied; null where it named none.
 * @property report what the member said of itself, where it was asked for that.
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

    /** Why the command was rejected; null where it succeeded. */
    val rejection: RejectionCode? get() = (result as? StatementResult.Rejected)?.code
}

/** Reply to one statement of a caller. */
public data class SessionReply(
    val rows: List<String>,
    val result: StatementResult,
    val state: TransactionState,
)

/**
 * A member's report of itself.
 *
 * @property received end of the log that it has received, which may not be applied yet.
 * @property accepted highest term that it has accepted.
 * @property connections connections of all callers together.
 */
public data class ReplicationReport(
    val primary: Boolean,
    val term: Term,
    val received: HistoryPoint,
    val accepted: Term,
    val connections: Int,
)
