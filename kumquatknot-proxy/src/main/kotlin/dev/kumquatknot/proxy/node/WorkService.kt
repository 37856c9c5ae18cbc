package dev.kumquatknot.proxy.node

import arrow.core.Either
import arrow.core.left
import dev.kumquatknot.core.identity.DatabaseName
import dev.kumquatknot.core.identity.MemberName
import dev.kumquatknot.core.outcome.Effect
import dev.kumquatknot.core.outcome.Failure
import dev.kumquatknot.core.outcome.FailureReason
import dev.kumquatknot.core.outcome.Peer
import dev.kumquatknot.core.outcome.Step
import dev.kumquatknot.core.request.Work
import dev.kumquatknot.core.time.Clock
import dev.kumquatknot.proxy.relay.MemberStatus
import dev.kumquatknot.proxy.relay.RelayAnswer
import dev.kumquatknot.proxy.relay.RelayReply
import dev.kumquatknot.proxy.relay.RelayRequest
import dev.kumquatknot.proxy.transaction.TransactionExecution
import dev.kumquatknot.proxy.work.MemberHost
import dev.kumquatknot.proxy.work.ReadExecution
import dev.kumquatknot.proxy.work.WriteExecution
import kotlin.time.Duration

/** Returns or creates the host of a member on this VM; null if the configuration in force has no such member. */
internal typealias FindHost = (database: DatabaseName, member: MemberName) -> MemberHost?

/** Runs requests at the members whose connections this VM holds. Every request is answered by its deadline. */
internal class WorkService(
    private val findHost: FindHost,
    private val reads: ReadExecution,
    private val writes: WriteExecution,
    private val transactions: TransactionExecution,
    private val clock: Clock,
) {
    /** Runs [request] and blocks until its outcome is known or its deadline passes. */
    fun execute(request: RelayRequest): RelayReply {
        val host = findHost(request.database, request.member) ?: return request.notConfigured()
        val deadline = clock.elapsed() + request.remaining
        return RelayReply(run(host, request, deadline), host.status())
    }

    private fun run(host: MemberHost, request: RelayRequest, deadline: Duration): Either<Failure, RelayAnswer> =
        when (val work = request.work) {
            is Work.Read -> reads.execute(host, request, work.statements, deadline)
            is Work.Write -> writes.execute(host, request, work.statements, deadline)
            Work.Begin -> transactions.begin(host, request, deadline)
            is Work.Run -> transactions.run(work.transaction.number, request, work.statements, deadline)
            is Work.Commit -> transactions.commit(host, work.transaction.number, request, deadline)
            is Work.Rollback -> transactions.rollback(work.transaction.number, request, deadline)
            Work.Resolve -> writes.resolve(host, request, deadline)
        }

    private fun RelayRequest.notConfigured() = RelayReply(
        Failure(
            reason = FailureReason.INVALID_REQUEST,
            effect = Effect.NOT_RUN,
            step = Step.ROUTE,
            peer = Peer.Member(member),
            detail = "member $member of database $database is not in the configuration in force",
        ).left(),
        MemberStatus.UNKNOWN,
    )
}
