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
    /** Returns the description of this request for admission. */
    fun workItem() = request.toWorkItem(deadline)

    /** Returns a batch of this request that is bound to [term]. */
    fun batch(statements: List<Statement>, end: BatchEnd) =
        StatementBatch(request.id, term, readOnly = false, statements = statements, end = end)

    /** Runs [statements] in one transaction and commits it. */
    fun run(statements: List<Statement>): Either<GatewayFailure, BatchReply> =
        host.runBatch(workItem(), batch(statements, BatchEnd.COMMIT), request.replyTimeout)
}

/**
 * A transaction that has committed at the primary and still needs the confirmation of a majority.
 *
 * @property repeated whether it was committed by an earlier request with the same idempotency key.
 */
internal class CommittedWork(
    val results: List<StatementResult>,
    val point: HistoryPoint,
    val repeated: Boolean = false,
)
