package dev.kumquatknot.core.request

import arrow.core.Either
import dev.kumquatknot.core.configuration.KindConfiguration
import dev.kumquatknot.core.identity.DatabaseName
import dev.kumquatknot.core.identity.MemberName
import dev.kumquatknot.core.identity.RequestId
import dev.kumquatknot.core.identity.TeamName
import dev.kumquatknot.core.identity.VmName
import dev.kumquatknot.core.member.MemberRole
import dev.kumquatknot.core.member.Statement
import dev.kumquatknot.core.member.StatementResult
import dev.kumquatknot.core.outcome.Failure
import dev.kumquatknot.core.session.SessionToken
import kotlin.time.Duration

/** Key of work that must not be repeated, set by the caller; unique within its team and database group. */
@JvmInline
public value class IdempotencyKey(public val value: String)

/** Identity of an interactive transaction: the VM that holds its connection and a number unique on that VM. */
public data class TransactionHandle(val vm: VmName, val number: Long)

/** Operation that a caller requests. */
public sealed interface Work {
    /**
     * Read-only statements.
     *
     * @property maximumAge maximum age that the caller accepts, if it differs from the kind's; can only be stricter.
     */
    public data class Read(val statements: List<Statement>, val maximumAge: Duration? = null) : Work

    /** Statements that run in one transaction of their own. */
    public data class Write(val statements: List<Statement>) : Work

    /** Start of an interactive transaction. */
    public data object Begin : Work

    /** Statements within an interactive transaction. */
    public data class Run(val transaction: TransactionHandle, val statements: List<Statement>) : Work

    /** Commit of an interactive transaction. */
    public data class Commit(val transaction: TransactionHandle) : Work

    /** Rollback of an interactive transaction. */
    public data class Rollback(val transaction: TransactionHandle) : Work

    /** Query for the outcome of the work that was sent with [CallerRequest.key]. */
    public data object Resolve : Work
}

/**
 * A validated request of a caller, with its kind resolved.
 *
 * @property deadline time of the node's monotonic clock after which the response is useless.
 */
public data class CallerRequest(
    val id: RequestId,
    val team: TeamName,
    val kind: KindConfiguration,
    val database: DatabaseName,
    val work: Work,
    val token: SessionToken,
    val key: IdempotencyKey?,
    val deadline: Duration,
)

/**
 * Response to a completed request.
 *
 * @property servedBy the member that ran the request; null if no member was involved.
 * @property role the role of [servedBy] at that time.
 * @property repeated whether this is the stored first response to the same idempotency key.
 * @property transaction the interactive transaction that the request started, if any.
 */
public data class CallerReply(
    val results: List<StatementResult>,
    val token: SessionToken,
    val servedBy: MemberName?,
    val role: MemberRole?,
    val repeated: Boolean = false,
    val transaction: TransactionHandle? = null,
)

/** A failure to return to the caller, with the session's token, which a write of unknown outcome changes. */
public data class RequestFailure(val failure: Failure, val token: SessionToken)

/** Serves one request; blocks until the final response, but no longer than the request's deadline. */
public typealias HandleRequest = (CallerRequest) -> Either<RequestFailure, CallerReply>
