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
import dev.kumquatknot.proxy.work.MEMBER_FAILURE_RETRY_AFTER
import dev.kumquatknot.proxy.work.MemberHost
import dev.kumquatknot.proxy.work.WriteExecution
import dev.kumquatknot.proxy.work.toFailure
import dev.kumquatknot.proxy.work.toWorkItem
import kotlin.time.Duration

/**
 * Runs interactive transactions. A transaction is bound to one connection and one term. It is rolled back when either
 * ends, unless its commit was in flight.
 */
internal class TransactionExecution(
    private val table: TransactionTable,
    private val writes: WriteExecution,
    private val keyed: KeyedExecution,
    private val clock: Clock,
) {
    /** Opens a transaction at the primary [host] and returns its number. */
    fun begin(host: MemberHost, request: RelayRequest, deadline: Duration): Either<Failure, RelayAnswer> = either {
        val term = writes.primaryTerm(host).bind()
        ensure(term >= request.needs.required.term) { request.termBehindSession(term) }
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
        ensure(standing?.term == term) { host.primaryNotConfirmed() }
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
    ): Either<Failure, RelayAnswer> = withTransaction(number, request) { transaction ->
        val result = transaction.send(request, statements, BatchEnd.KEEP_OPEN, deadline)
        if (result.isLeft { it.endsTransaction }) end(transaction, clean = false)
        result.map { RelayAnswer(it.results, request.needs.required, MemberRole.PRIMARY) }
    }

    /**
     * Commits the transaction [number] and waits for its confirmation. A repetition with the same key returns the first
     * answer from the record at the primary [host].
     */
    fun commit(
        host: MemberHost,
        number: Long,
        request: RelayRequest,
        deadline: Duration,
    ): Either<Failure, RelayAnswer> {
        val committed = withTransaction(number, request) { commitOpen(it, request, deadline) }
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

    /**
     * Whether the commit may repeat an earlier one: the transaction has ended already or its record violates the unique
     * key. The record of the key then gives the outcome of the first commit.
     */
    private val Failure.mayBeRepetition: Boolean
        get() = reason == FailureReason.TRANSACTION_ENDED || reason == FailureReason.STATEMENT_FAILED

    /** Rolls back the transaction [number] and returns its connection to the pool. */
    fun rollback(number: Long, request: RelayRequest, deadline: Duration): Either<Failure, RelayAnswer> =
        withTransaction(number, request) { transaction ->
            val result = transaction.send(request, emptyList(), BatchEnd.ROLLBACK, deadline)
            end(transaction, clean = result.isRight())
            RelayAnswer(emptyList(), request.needs.required, MemberRole.PRIMARY).right()
        }

    private fun RelayRequest.recordStatements(): List<Statement> {
        val idempotencyKey = key ?: return emptyList()
        return listOf(
            IdempotencyRecord.insert(team, idempotencyKey, emptyList(), clock.instant()),
            IdempotencyRecord.complete(team, idempotencyKey, emptyList()),
        )
    }

    private fun OpenTransaction.send(
        request: RelayRequest,
        statements: List<Statement>,
        end: BatchEnd,
        deadline: Duration,
    ): Either<Failure, BatchReply> {
        val batch = StatementBatch(request.id, term, readOnly = false, statements = statements, end = end)
        val effectIfUnanswered = if (end == BatchEnd.COMMIT) Effect.UNKNOWN else Effect.NOT_RUN
        return connection.execute(request.toWorkItem(deadline), host.observedBatch(batch, Duration.INFINITE))
            .mapLeft { it.toFailure(effectIfUnanswered) }
    }

    /** Whether the transaction was rolled back or its connection lost; a refusal at admission leaves it open. */
    private val Failure.endsTransaction: Boolean get() = step != Step.ADMIT

    private fun end(transaction: OpenTransaction, clean: Boolean) {
        if (table.remove(transaction)) transaction.connection.release(clean)
    }

    private fun <T> withTransaction(
        number: Long,
        request: RelayRequest,
        action: (OpenTransaction) -> Either<Failure, T>,
    ): Either<Failure, T> {
        val transaction =
            table.find(number, request.team, request.database) ?: return request.alreadyEnded(number).left()
        if (!transaction.lock.tryLock()) return request.alreadyInUse(number).left()
        try {
            if (table.find(number, request.team, request.database) == null) return request.alreadyEnded(number).left()
            return action(transaction).also { transaction.lastUsedAt = clock.elapsed() }
        } finally {
            transaction.lock.unlock()
        }
    }

    private fun RelayRequest.termBehindSession(term: Term) = Failure(
        reason = FailureReason.SUPERSEDED,
        effect = Effect.NOT_RUN,
        step = Step.ROUTE,
        peer = Peer.Member(member),
        detail = "the session has seen term ${needs.required.term}; member $member is known as primary of term $term",
        retryAfter = MEMBER_FAILURE_RETRY_AFTER,
    )

    private fun MemberHost.primaryNotConfirmed() = Failure(
        reason = FailureReason.NO_PRIMARY,
        effect = Effect.NOT_RUN,
        step = Step.ROUTE,
        peer = Peer.Member(name),
        detail = "no majority was seen to follow member $name in time",
        retryAfter = MEMBER_FAILURE_RETRY_AFTER,
    )

    private fun RelayRequest.alreadyEnded(number: Long) = Failure(
        reason = FailureReason.TRANSACTION_ENDED,
        effect = if (work is Work.Commit && table.mayHaveCommitted(number)) Effect.UNKNOWN else Effect.NOT_RUN,
        step = Step.EXECUTE,
        peer = Peer.Local,
        detail = "transaction $number has ended: committed, rolled back, or idle for more than " +
            "${TransactionTable.IDLE_TIMEOUT}",
    )

    private fun RelayRequest.alreadyInUse(number: Long) = Failure(
        reason = FailureReason.INVALID_REQUEST,
        effect = if (work is Work.Commit) Effect.UNKNOWN else Effect.NOT_RUN,
        step = Step.EXECUTE,
        peer = Peer.Member(member),
        detail = "transaction $number is running another request",
    )
}
