package dev.kumquatknot.proxy.work

import arrow.core.Either
import dev.kumquatknot.core.history.HistoryPoint
import dev.kumquatknot.core.history.Term
import dev.kumquatknot.core.member.BatchEnd
import dev.kumquatknot.core.member.BatchReply
import dev.kumquatknot.core.member.Statement
import dev.kumquatknot.core.member.StatementBatch
import dev.kumquatknot.core.member.StatementResult
import dev.kumquatknot.proxy.member.GatewayFailure
import dev.kumquatknot.proxy.relay.RelayRequest
import kotlin.time.Duration

/** One attempt to run a request at the primary [host] in [term]. */
internal class Attempt(
    val host: MemberHost,
    val request: RelayRequest,
    val term: Term,
    private val deadline: Duration,
) {
    /** Returns what admission has to know. */
    fun item() = request.toWorkItem(deadline)

    /** Returns a batch of this request and term. */
    fun batch(statements: List<Statement>, end: BatchEnd) =
        StatementBatch(request.id, term, readOnly = false, statements = statements, end = end)

    /** Runs [statements] in a transaction of their own. */
    fun run(statements: List<Statement>): Either<GatewayFailure, BatchReply> =
        host.runBatch(item(), batch(statements, BatchEnd.COMMIT), request.patience)
}

/**
 * A transaction that has committed at the primary and is to be confirmed.
 *
 * @property repeated whether it committed for an earlier request with the same key.
 */
internal class CommittedWork(
    val results: List<StatementResult>,
    val point: HistoryPoint,
    val repeated: Boolean = false,
)
