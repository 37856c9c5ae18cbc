package dev.kumquatknot.proxy.transaction

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.raise.Raise
import arrow.core.raise.either
import arrow.core.raise.ensure
import arrow.core.right
import dev.kumquatknot.core.configuration.Repetition
import dev.kumquatknot.core.history.Term
import dev.kumquatknot.core.idempotency.IdempotencyRecord
import dev.kumquatknot.core.member.BatchEnd
import dev.kumquatknot.core.member.BatchReply
import dev.kumquatknot.core.member.MemberRole
import dev.kumquatknot.core.member.Statement
import dev.kumquatknot.core.member.StatementBatch
import dev.kumquatknot.core.outcome.Effect
import dev.kumquatknot.core.outcome.Failure
import dev.kumquatknot.core.outcome.FailureReason
import dev.kumquatknot.core.outcome.Peer
import dev.kumquatknot.core.outcome.Step
import dev.kumquatknot.core.request.Work
import dev.kumquatknot.core.time.Clock
import dev.kumquatknot.proxy.relay.RelayAnswer
import dev.kumquatknot.proxy.relay.RelayRequest
import dev.kumquatknot.proxy.work.Attempt
import dev.kumquatknot.proxy.work.KeyedExecution
import dev.kumquatknot.proxy.work.MemberHost
import dev.kumquatknot.proxy.work.RETRY_AFTER_LOSS
import dev.kumquatknot.proxy.work.WriteExecution
import dev.kumquatknot.proxy.work.toFailure
import dev.kumquatknot.proxy.work.toWorkItem
import kotlin.time.Duration

/**
 * Runs interactive transactions. A transaction keeps one connection in one term; whatever ends either ends it, and
 * then nothing of it stays, unless its commit was under way.
 */
internal class TransactionExecution(
    private val table: TransactionTable,
    private val writes: WriteExecution,
    private val keyed: KeyedExecution,
    private val clock: Clock,
) {
    /** Starts a transaction at the primary [host]. */
    fun begin(host: MemberHost, request: RelayRequest, deadline: Duration): Either<Failure, RelayAnswer> = either {
        val term = writes.primaryTerm(host).bind()
        ensure(term >= request.needs.required.term) { request.behind(term) }
        if (request.needs.requiresConfirmedPrimary) awaitStanding(host, term, deadline)
        if (request.kind.repetition == Repetition.AT_MOST_ONCE) ensureRecordTable(host, request, term, deadline)
        val connection = host.gateway.pin(request.toWorkItem(deadline)).mapLeft { it.toFailure(Effect.NOT_RUN) }.bind()
        val number = table.nextNumber()
        table.add(
            OpenTransaction(
                number,
                request.team,
                request.database,
                request.kind,
                host,
                term,
                connection,
                clock.elapsed(),
            ),
        )
        RelayAnswer(emptyList(), request.needs.required, MemberRole.PRIMARY, repeated = false, transaction = number)
    }

    private fun Raise<Failure>.awaitStanding(host: MemberHost, term: Term, deadline: Duration) {
        val standing = host.group.awaitStanding(clock.elapsed(), deadline)
        ensure(standing?.term == term) { host.notStanding() }
    }

    private fun Raise<Failure>.ensureRecordTable(
        host: MemberHost,
        request: RelayRequest,
        term: Term,
        deadline: Duration,
    ) {
        if (host.recordTableTerm == term) return
        keyed.ensureTable(Attempt(host, request, term, deadline)).bind()
        host.recordTableTerm = term
    }

    /** Runs [statements] in the transaction [number]. */
    fun run(
        number: Long,
        request: RelayRequest,
        statements: List<Statement>,
        deadline: Duration,
    ): Either<Failure, RelayAnswer> = using(number, request) { transaction ->
        val result = transaction.send(request, statements, BatchEnd.KEEP_OPEN, deadline)
        if (result.isLeft { it.endsTransaction }) end(transaction, clean = false)
        result.map { RelayAnswer(it.results, request.needs.required, MemberRole.PRIMARY) }
    }

    /**
     * Commits the transaction [number] and waits for its confirmation. A repetition with the same key gets the first
     * answer, from the record at the primary [host].
     */
    fun commit(
        host: MemberHost,
        number: Long,
        request: RelayRequest,
        deadline: Duration,
    ): Either<Failure, RelayAnswer> {
        val committed = using(number, request) { commitOpen(it, request, deadline) }
        val failure = committed.leftOrNull()
        if (request.key != null && failure != null && failure.mayBeRepetition) {
            return writes.resolve(host, request, deadline, statements = emptyList())
        }
        return committed.flatMap { (primary, reply) ->
            writes.confirm(primary, reply.point, deadline)
                .map { RelayAnswer(emptyList(), reply.point, MemberRole.PRIMARY) }
        }
    }

    private fun commitOpen(
        transaction: OpenTransaction,
        request: RelayRequest,
        deadline: Duration,
    ): Either<Failure, Pair<MemberHost, BatchReply>> {
        val result = transaction.send(request, request.recordStatements(), BatchEnd.COMMIT, deadline)
        if (result.isRight() || result.isLeft { it.effect == Effect.UNKNOWN }) table.recordCommit(transaction.number)
        if (result.isRight() || result.isLeft { it.endsTransaction }) end(transaction, clean = result.isRight())
        return result.map { transaction.host to it }
    }

    /** The transaction has ended, or its record met another one: the key tells what became of the first commit. */
    private val Failure.mayBeRepetition: Boolean
        get() = reason == FailureReason.TRANSACTION_ENDED || reason == FailureReason.STATEMENT_FAILED

    /** Rolls the transaction [number] back. */
    fun rollback(number: Long, request: RelayRequest, deadline: Duration): Either<Failure, RelayAnswer> =
        using(number, request) { transaction ->
            val result = transaction.send(request, emptyList(), BatchEnd.ROLLBACK, deadline)
            end(transaction, clean = result.isRight())
            RelayAnswer(emptyList(), request.needs.required, MemberRole.PRIMARY).right()
        }

    private fun RelayRequest.recordStatements(): List<Statement> {
        val given = key ?: return emptyList()
        return listOf(
            IdempotencyRecord.insert(team, given, emptyList(), clock.instant()),
            IdempotencyRecord.complete(team, given, emptyList()),
        )
    }

    private fun OpenTransaction.send(
        request: RelayRequest,
        statements: List<Statement>,
        end: BatchEnd,
        deadline: Duration,
    ): Either<Failure, BatchReply> {
        val batch = StatementBatch(request.id, term, readOnly = false, statements = statements, end = end)
        val unanswered = if (end == BatchEnd.COMMIT) Effect.UNKNOWN else Effect.NOT_RUN
        return connection.execute(request.toWorkItem(deadline), host.learning(batch, Duration.INFINITE))
            .mapLeft { it.toFailure(unanswered) }
    }

    /** Whether the member has rolled the transaction back or the connection is lost; a refusal leaves it open. */
    private val Failure.endsTransaction: Boolean get() = step != Step.ADMIT

    private fun end(transaction: OpenTransaction, clean: Boolean) {
        if (table.remove(transaction)) transaction.connection.release(clean)
    }

    private fun <T> using(
        number: Long,
        request: RelayRequest,
        action: (OpenTransaction) -> Either<Failure, T>,
    ): Either<Failure, T> {
        val transaction = table.find(number, request.team, request.database) ?: return request.ended(number).left()
        if (!transaction.lock.tryLock()) return request.busy(number).left()
        try {
            if (table.find(number, request.team, request.database) == null) return request.ended(number).left()
            return action(transaction).also { transaction.lastUsedAt = clock.elapsed() }
        } finally {
            transaction.lock.unlock()
        }
    }

    private fun RelayRequest.behind(term: Term) = Failure(
        reason = FailureReason.SUPERSEDED,
        effect = Effect.NOT_RUN,
        step = Step.ROUTE,
        peer = Peer.Member(member),
        detail = "the session has seen term ${needs.required.term}; member $member is known as primary of term $term",
        retryAfter = RETRY_AFTER_LOSS,
    )

    private fun MemberHost.notStanding() = Failure(
        reason = FailureReason.NO_PRIMARY,
        effect = Effect.NOT_RUN,
        step = Step.ROUTE,
        peer = Peer.Member(name),
        detail = "no majority was seen to follow member $name in time",
        retryAfter = RETRY_AFTER_LOSS,
    )

    private fun RelayRequest.ended(number: Long) = Failure(
        reason = FailureReason.TRANSACTION_ENDED,
        effect = if (work is Work.Commit && table.mayHaveCommitted(number)) Effect.UNKNOWN else Effect.NOT_RUN,
        step = Step.EXECUTE,
        peer = Peer.Local,
        detail = "transaction $number has ended: committed, rolled back, or idle for more than " +
            "${TransactionTable.IDLE_LIMIT}",
    )

    private fun RelayRequest.busy(number: Long) = Failure(
        reason = FailureReason.INVALID_REQUEST,
        effect = if (work is Work.Commit) Effect.UNKNOWN else Effect.NOT_RUN,
        step = Step.EXECUTE,
        peer = Peer.Member(member),
        detail = "transaction $number is running another request",
    )
}
