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

/** Key that a caller gives to work that may not be repeated; unique within its team and database group. */
@JvmInline
public value class IdempotencyKey(public val value: String)

/** Identity of an interactive transaction: the VM that holds its connection and a number unique there. */
public data class TransactionHandle(val vm: VmName, val number: Long)

/** What a caller asks for. */
public sealed interface Work {
    /**
     * Statements that change nothing.
     *
     * @property maximumAge age that the caller accepts, where it differs from the kind's; it can only be stricter.
     */
    public data class Read(val statements: List<Statement>, val maximumAge: Duration? = null) : Work

    /** Statements that run in one transaction. */
    public data class Write(val statements: List<Statement>) : Work

    /** Start of an interactive transaction. */
    public data object Begin : Work

    /** Statements within an interactive transaction. */
    public data class Run(val transaction: TransactionHandle, val statements: List<Statement>) : Work

    /** Commit of an interactive transaction. */
    public data class Commit(val transaction: TransactionHandle) : Work

    /** Rollback of an interactive transaction. */
    public data class Rollback(val transaction: TransactionHandle) : Work

    /** Question for the outcome of the work that carried [CallerRequest.key]. */
    public data object Resolve : Work
}

/**
 * A request of a caller, checked and with its kind looked up.
 *
 * @property deadline moment of the node's monotonic clock after which the answer is of no more use.
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
 * Answer to a completed request.
 *
 * @property servedBy the member that ran it, and the role in which it did; null where no member was asked.
 * @property repeated whether this is the first answer to the same idempotency key, given again.
 * @property transaction the interactive transaction that the request started, if it did.
 */
public data class CallerReply(
    val results: List<StatementResult>,
    val token: SessionToken,
    val servedBy: MemberName?,
    val role: MemberRole?,
    val repeated: Boolean = false,
    val transaction: TransactionHandle? = null,
)

/** A failure towards the caller, with the session's token, which a write of unknown outcome changes. */
public data class RequestFailure(val failure: Failure, val token: SessionToken)

/** Serves one request and blocks until its final answer, at most until its deadline. */
public typealias HandleRequest = (CallerRequest) -> Either<RequestFailure, CallerReply>
