package dev.kumquatknot.proxy.adapter.jdbc

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import dev.kumquatknot.core.history.HistoryPoint
import dev.kumquatknot.core.history.LogPosition
import dev.kumquatknot.core.identity.MemberName
import dev.kumquatknot.core.member.BatchEnd
import dev.kumquatknot.core.member.BatchReply
import dev.kumquatknot.core.member.MemberConnection
import dev.kumquatknot.core.member.MemberFailure
import dev.kumquatknot.core.member.StatementBatch
import dev.kumquatknot.core.outcome.Step
import java.sql.Connection
import java.sql.SQLException
import java.util.concurrent.Executor
import kotlin.time.Duration

/**
 * One JDBC connection to a member. A transaction reads from one snapshot. The term table is checked when a transaction
 * begins and, under a lock on its row, right before changes are committed. A batch without an answer within its timeout
 * closes the connection.
 */
internal class JdbcConnection(
    private val member: MemberName,
    private val connection: Connection,
    private val executor: Executor,
    private val termLock: String,
) : MemberConnection {
    /** An open transaction with the term row and the log position of its snapshot. */
    private class Transaction(
        val replica: Boolean,
        val readOnly: Boolean,
        val row: TermRow,
        val position: LogPosition,
    ) {
        var hasChanges = false
        val point: HistoryPoint get() = HistoryPoint(row.serving, position)
    }

    private var transaction: Transaction? = null

    @Volatile
    private var usable = true

    override fun run(batch: StatementBatch, timeout: Duration): Either<MemberFailure, BatchReply> {
        val step = if (batch.end == BatchEnd.COMMIT) Step.COMMIT else Step.EXECUTE
        if (!usable) return MemberFailure.Unreachable(member, step, "the connection is closed").left()
        val outcome = callBlocking(executor, timeout) { runOrRollBack(batch, step) }
            .fold({ noAnswer(it, step, timeout) }, { it })
        if (outcome is Either.Left && outcome.value is MemberFailure.NoAnswer) close()
        return outcome
    }

    override fun close() {
        usable = false
        executor.execute { abort() }
    }

    private fun abort() {
        try {
            connection.abort(executor)
        } catch (_: SQLException) {
            return
        }
    }

    private fun noAnswer(failure: BlockingFailure, step: Step, timeout: Duration): Either<MemberFailure, BatchReply> {
        val detail = when (failure) {
            BlockingFailure.TimedOut -> "no answer within $timeout"
            is BlockingFailure.Sql -> failure.exception.message.orEmpty()
        }
        return MemberFailure.NoAnswer(member, step, detail).left()
    }

    private fun runOrRollBack(batch: StatementBatch, step: Step): Either<MemberFailure, BatchReply> = try {
        runInTransaction(batch, step).onLeft { rollback() }
    } catch (failure: SQLException) {
        val term = transaction?.row?.accepted ?: batch.term
        val outcome = SqlStates.batchFailure(member, step, term, failure)
        if (outcome !is MemberFailure.NoAnswer) rollback()
        outcome.left()
    }

    private fun runInTransaction(batch: StatementBatch, step: Step): Either<MemberFailure, BatchReply> {
        val current = transaction ?: begin(batch.readOnly && batch.end != BatchEnd.KEEP_OPEN).also { transaction = it }
        return checkTerm(current, batch, step).flatMap {
            current.hasChanges = current.hasChanges || !batch.readOnly
            val results = batch.statements.map { connection.runStatement(it) }
            finish(current, batch, step).map { point ->
                BatchReply(batch.request, results, point, current.row.accepted)
            }
        }
    }

    private fun checkTerm(current: Transaction, batch: StatementBatch, step: Step): Either<MemberFailure, Unit> {
        val row = current.row
        return when {
            row.accepted > batch.term -> MemberFailure.LowerTerm(member, step, row.accepted).left()
            batch.readOnly && !current.hasChanges -> Unit.right()
            current.replica || !row.servesChanges(batch.term) ->
                MemberFailure.NotPrimary(member, step, row.accepted).left()
            else -> Unit.right()
        }
    }

    /**
     * Begins a transaction whose snapshot has a known log position: the position is the same before and after taking
     * the snapshot. Otherwise the snapshot is taken again, at most [SNAPSHOT_RETRIES] times.
     */
    private fun begin(readOnly: Boolean): Transaction {
        var snapshot = takeSnapshot(readOnly)
        repeat(SNAPSHOT_RETRIES) {
            if (ServerFunctions.position(connection, snapshot.replica) == snapshot.position) return snapshot
            connection.rollback()
            snapshot = takeSnapshot(readOnly)
        }
        return snapshot
    }

    private fun takeSnapshot(readOnly: Boolean): Transaction {
        connection.autoCommit = true
        connection.isReadOnly = readOnly
        val replica = ServerFunctions.isReplica(connection)
        val position = ServerFunctions.position(connection, replica)
        connection.transactionIsolation = Connection.TRANSACTION_REPEATABLE_READ
        connection.autoCommit = false
        return Transaction(replica, readOnly, TermTable.read(connection), position)
    }

    private fun finish(current: Transaction, batch: StatementBatch, step: Step): Either<MemberFailure, HistoryPoint> =
        when (batch.end) {
            BatchEnd.KEEP_OPEN -> current.point.right()
            BatchEnd.ROLLBACK -> current.point.right().also { rollback() }
            BatchEnd.COMMIT -> when {
                current.readOnly || current.replica -> current.point.right().also { commit() }
                else -> commitChanges(batch, step)
            }
        }

    private fun commitChanges(batch: StatementBatch, step: Step): Either<MemberFailure, HistoryPoint> {
        val row = TermTable.lock(connection, termLock)
        if (!row.servesChanges(batch.term)) return MemberFailure.LowerTerm(member, step, row.accepted).left()
        commit()
        return pointAfterCommit(batch, step)
    }

    private fun pointAfterCommit(batch: StatementBatch, step: Step): Either<MemberFailure, HistoryPoint> = try {
        HistoryPoint(batch.term, ServerFunctions.position(connection, replica = false)).right()
    } catch (failure: SQLException) {
        MemberFailure.NoAnswer(member, step, "committed at an unknown position: ${failure.message}").left()
    }

    private fun commit() {
        connection.commit()
        transaction = null
    }

    private fun rollback() {
        transaction = null
        connection.rollback()
    }

    private companion object {
        const val SNAPSHOT_RETRIES = 3
    }
}
