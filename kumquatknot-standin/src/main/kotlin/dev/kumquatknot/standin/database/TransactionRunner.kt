package dev.kumquatknot.standin.database

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.raise.either
import arrow.core.right
import dev.kumquatknot.core.history.HistoryPoint
import dev.kumquatknot.core.member.BatchEnd
import dev.kumquatknot.core.member.BatchReply
import dev.kumquatknot.core.member.MemberFailure
import dev.kumquatknot.core.member.Statement
import dev.kumquatknot.core.member.StatementBatch
import dev.kumquatknot.core.member.StatementResult
import dev.kumquatknot.core.outcome.Step
import java.util.concurrent.TimeUnit

/** Runs the batches of one connection and keeps its open transaction. Used by one thread at a time. */
internal class TransactionRunner(
    private val member: GroupMember,
    private val runtime: GroupRuntime,
    private val isOpen: () -> Boolean,
) {
    private var session: SqlSession? = null
    private var transaction: OpenTransaction? = null
    private var endedByMember = false
    private var holdsWriteLock = false

    val inTransaction: Boolean get() = transaction != null

    fun run(batch: StatementBatch): Either<MemberFailure, BatchReply> =
        validate(batch).flatMap { withSlot { runInSlot(batch) } }.onLeft { rollback() }

    fun rollback() {
        transaction?.let { ended ->
            ended.session.rollback()
            if (ended.changedSchema) member.rebuildEngine()
        }
        endTransaction()
    }

    /** Rolls back an open transaction on behalf of the member; the next batch then fails. */
    fun abort() {
        endedByMember = endedByMember || inTransaction
        rollback()
    }

    fun close() {
        rollback()
        session?.close()
    }

    private fun validate(batch: StatementBatch): Either<MemberFailure, Unit> {
        val step = if (batch.end == BatchEnd.COMMIT) Step.COMMIT else Step.EXECUTE
        val rejected = member.rejection(batch.term, !batch.readOnly || holdsWriteLock, step)
        val ended = endedByMember.also { endedByMember = false }
        return when {
            rejected != null -> rejected.left()
            ended -> statementFailure(SqlStates.SERIALIZATION_FAILURE, "the member has ended the transaction").left()
            !batch.readOnly && !acquireWriteLock() ->
                statementFailure(SqlStates.LOCK_NOT_AVAILABLE, "another transaction holds the write lock").left()
            else -> Unit.right()
        }
    }

    private fun acquireWriteLock(): Boolean {
        if (!holdsWriteLock) {
            holdsWriteLock = member.writeLock.tryAcquire(runtime.timing.lockTimeoutMillis, TimeUnit.MILLISECONDS)
        }
        return holdsWriteLock
    }

    private fun <T> withSlot(action: () -> Either<MemberFailure, T>): Either<MemberFailure, T> {
        if (!member.slots.tryAcquire(runtime.timing.slotTimeoutMillis, TimeUnit.MILLISECONDS)) {
            return statementFailure(SqlStates.STATEMENT_TIMEOUT, "no slot became free").left()
        }
        try {
            runtime.pause(runtime.timing.service * member.faults.slownessFactor)
            return action()
        } finally {
            member.slots.release()
        }
    }

    private fun runInSlot(batch: StatementBatch): Either<MemberFailure, BatchReply> = either {
        val current = currentTransaction(batch).bind()
        val results = batch.statements.map { runStatement(current, it, batch.readOnly).bind() }
        val point = endBatch(current, batch).bind()
        BatchReply(batch.request, results, point, member.report().acceptedTerm)
    }

    private fun currentTransaction(batch: StatementBatch): Either<MemberFailure, OpenTransaction> {
        val open = transaction ?: return member.begin(session).mapLeft { it.toFailure() }.onRight {
            session = it.session
            it.writing = !batch.readOnly
            transaction = it
        }
        if (!batch.readOnly && !open.writing) {
            if (!member.isCurrent(open)) {
                return statementFailure(
                    SqlStates.SERIALIZATION_FAILURE,
                    "the data have changed since the transaction read",
                ).left()
            }
            open.writing = true
        }
        return open.right()
    }

    private fun runStatement(
        current: OpenTransaction,
        statement: Statement,
        readOnly: Boolean,
    ): Either<MemberFailure, StatementResult> = either {
        val schema = StatementClassifier.classify(statement.text).getOrNull() == StatementClass.SCHEMA
        if (schema && current.changes.isNotEmpty() && !current.changedSchema) {
            raise(statementFailure(SqlStates.NOT_SUPPORTED, "a change of the schema must come before changes of data"))
        }
        current.changedSchema = current.changedSchema || (schema && !readOnly)
        val outcome = current.session.run(statement, readOnly).mapLeft { it.toFailure() }.bind()
        if (outcome.statementClass != StatementClass.QUERY) current.changes += statement
        outcome.result
    }

    private fun endBatch(current: OpenTransaction, batch: StatementBatch): Either<MemberFailure, HistoryPoint> =
        when (batch.end) {
            BatchEnd.KEEP_OPEN -> current.point.right()
            BatchEnd.COMMIT -> member.commit(current, batch.term, isOpen).onRight { endTransaction() }
            BatchEnd.ROLLBACK -> current.point.right().also { rollback() }
        }

    private fun endTransaction() {
        transaction = null
        if (holdsWriteLock) member.writeLock.release()
        holdsWriteLock = false
    }

    private fun SqlFailure.toFailure() = statementFailure(sqlState, detail)

    private fun statementFailure(sqlState: String, detail: String) =
        MemberFailure.StatementFailed(member.name, sqlState, detail)
}
