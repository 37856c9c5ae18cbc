package dev.kumquatknot.proxy.work

import arrow.core.Either
import arrow.core.left
import arrow.core.raise.Raise
import arrow.core.raise.either
import arrow.core.right
import dev.kumquatknot.core.history.HistoryPoint
import dev.kumquatknot.core.idempotency.IdempotencyRecord
import dev.kumquatknot.core.idempotency.RecordLookup
import dev.kumquatknot.core.member.BatchEnd
import dev.kumquatknot.core.member.MemberConnection
import dev.kumquatknot.core.member.MemberFailure
import dev.kumquatknot.core.member.Statement
import dev.kumquatknot.core.outcome.Effect
import dev.kumquatknot.core.outcome.Failure
import dev.kumquatknot.core.outcome.FailureReason
import dev.kumquatknot.core.outcome.Peer
import dev.kumquatknot.core.outcome.Step
import dev.kumquatknot.core.request.IdempotencyKey
import dev.kumquatknot.core.time.Clock
import dev.kumquatknot.proxy.member.GatewayFailure
import kotlin.time.Duration

/**
 * Runs work with an idempotency key. The work and a record of its answer commit in one transaction; a repetition finds
 * the record and returns the first answer.
 */
internal class KeyedExecution(private val clock: Clock) {
    /** Runs [statements], or returns the recorded answer if work with [key] has committed before. */
    fun execute(
        attempt: Attempt,
        key: IdempotencyKey,
        statements: List<Statement>,
    ): Either<Failure, CommittedWork> = either {
        val insert = IdempotencyRecord.insert(attempt.request.team, key, statements, clock.instant())
        repeat(ATTEMPTS) {
            val conflict = when (val result = runWithRecord(attempt, key, insert, statements)) {
                is RecordResult.Committed -> return@either result.work
                is RecordResult.Conflict -> result
            }
            when (val found = lookup(attempt, key, statements).bind()) {
                is FoundRecord.Same -> return@either found.work
                FoundRecord.Other -> raise(attempt.keyReusedFailure(key))
                FoundRecord.Absent -> conflict.failure?.let { raise(it.toFailure(Effect.NOT_RUN)) }
                is FoundRecord.Abandoned -> raise(attempt.abandonedFailure(key))
            }
        }
        raise(attempt.contendedFailure(key))
    }

    /**
     * Determines the outcome of the work with [key]. If there is no record, it inserts one that blocks the key for all
     * attempts in flight, so that the answer "not run" stays true.
     */
    fun resolve(
        attempt: Attempt,
        key: IdempotencyKey,
        statements: List<Statement>?,
    ): Either<Failure, ResolvedWork> = either {
        repeat(ATTEMPTS) {
            when (val found = lookup(attempt, key, statements).bind()) {
                is FoundRecord.Same -> return@either ResolvedWork.Ran(found.work)
                is FoundRecord.Abandoned -> return@either ResolvedWork.NotRun(found.point)
                FoundRecord.Other -> raise(attempt.keyReusedFailure(key, Step.RESOLVE))
                FoundRecord.Absent -> Unit
            }
            val abandon = IdempotencyRecord.abandon(attempt.request.team, key, clock.instant())
            attempt.run(listOf(abandon)).fold(
                { failure ->
                    when {
                        failure.isMissingTable() -> createTable(attempt)
                        !failure.isUniqueViolation() -> raise(failure.toFailure(Effect.UNKNOWN))
                    }
                },
                { return@either ResolvedWork.NotRun(it.point) },
            )
        }
        raise(attempt.contendedFailure(key))
    }

    /** Creates the table of records if missing, for work whose record is written in an interactive transaction. */
    fun ensureTable(attempt: Attempt): Either<Failure, Unit> = either { createTable(attempt) }

    private fun Raise<Failure>.runWithRecord(
        attempt: Attempt,
        key: IdempotencyKey,
        insert: Statement,
        statements: List<Statement>,
    ): RecordResult {
        val result = attempt.host.gateway.execute(attempt.workItem()) { connection, timeout ->
            runWithRecordOn(connection, timeout, attempt, key, listOf(insert) + statements)
        }
        return result.fold(
            { failure ->
                when {
                    failure.isUniqueViolation() -> RecordResult.Conflict(failure)
                    failure.isMissingTable() -> createTable(attempt).let { RecordResult.Conflict(null) }
                    else -> raise(failure.toFailure(effectIfUnanswered = Effect.NOT_RUN))
                }
            },
            { end ->
                end.fold({ raise(GatewayFailure.Failed(it).toFailure(effectIfUnanswered = Effect.UNKNOWN)) }, { it })
            },
        )
    }

    /** Inserts the record and runs the work in one batch, then stores the answer in the record and commits. */
    private fun runWithRecordOn(
        connection: MemberConnection,
        timeout: Duration,
        attempt: Attempt,
        key: IdempotencyKey,
        recordAndWork: List<Statement>,
    ): Either<MemberFailure, Either<MemberFailure, RecordResult>> = either {
        val startedAt = clock.elapsed()
        val begin = attempt.batch(recordAndWork, BatchEnd.KEEP_OPEN)
        val opened = attempt.host.observedBatch(begin, attempt.request.replyTimeout)(connection, timeout).bind()
        val remaining = timeout - (clock.elapsed() - startedAt)
        val answers = opened.results.drop(1)
        val complete = IdempotencyRecord.complete(attempt.request.team, key, answers)
        attempt.host.observedBatch(
            attempt.batch(listOf(complete), BatchEnd.COMMIT),
            attempt.request.replyTimeout,
        )(connection, remaining).fold(
            { it.left() },
            { RecordResult.Committed(CommittedWork(answers, it.point)).right() },
        )
    }

    private fun Raise<Failure>.createTable(attempt: Attempt) {
        attempt.run(listOf(IdempotencyRecord.createTable)).mapLeft { it.toFailure(Effect.NOT_RUN) }.bind()
    }

    private fun lookup(
        attempt: Attempt,
        key: IdempotencyKey,
        statements: List<Statement>?,
    ): Either<Failure, FoundRecord> = attempt.run(listOf(IdempotencyRecord.select(attempt.request.team, key))).fold(
        { if (it.isMissingTable()) FoundRecord.Absent.right() else it.toFailure(Effect.UNKNOWN).left() },
        { reply ->
            when (val found = IdempotencyRecord.lookup(reply.results.single(), statements)) {
                RecordLookup.Absent -> FoundRecord.Absent
                RecordLookup.Abandoned -> FoundRecord.Abandoned(reply.point)
                RecordLookup.OtherWork -> FoundRecord.Other
                is RecordLookup.SameWork -> FoundRecord.Same(CommittedWork(found.results, reply.point, repeated = true))
            }.right()
        },
    )

    private fun GatewayFailure.sqlState(): String? =
        ((this as? GatewayFailure.Failed)?.failure as? MemberFailure.StatementFailed)?.sqlState

    private fun GatewayFailure.isUniqueViolation(): Boolean = sqlState() == IdempotencyRecord.UNIQUE_VIOLATION

    private fun GatewayFailure.isMissingTable(): Boolean = sqlState() in IdempotencyRecord.missingTableStates

    private fun Attempt.keyReusedFailure(key: IdempotencyKey, step: Step = Step.EXECUTE) = Failure(
        reason = FailureReason.KEY_REUSED,
        effect = Effect.NOT_RUN,
        step = step,
        peer = Peer.Member(host.name),
        detail = "key \"${key.value}\" has been used for other work",
    )

    private fun Attempt.abandonedFailure(key: IdempotencyKey) = Failure(
        reason = FailureReason.ABANDONED,
        effect = Effect.NOT_RUN,
        step = Step.EXECUTE,
        peer = Peer.Member(host.name),
        detail = "a question for the outcome of key \"${key.value}\" has closed it; send the work with a new key",
    )

    private fun Attempt.contendedFailure(key: IdempotencyKey) = Failure(
        reason = FailureReason.OVERLOADED,
        effect = Effect.NOT_RUN,
        step = Step.EXECUTE,
        peer = Peer.Member(host.name),
        detail = "other attempts with key \"${key.value}\" are under way",
        retryAfter = MEMBER_FAILURE_RETRY_AFTER,
    )

    private sealed interface RecordResult {
        class Committed(val work: CommittedWork) : RecordResult

        /** The record was not inserted; [failure] is the unique violation, or null if the table was missing. */
        class Conflict(val failure: GatewayFailure?) : RecordResult
    }

    private sealed interface FoundRecord {
        data object Absent : FoundRecord

        data object Other : FoundRecord

        class Abandoned(val point: HistoryPoint) : FoundRecord

        class Same(val work: CommittedWork) : FoundRecord
    }

    private companion object {
        const val ATTEMPTS = 4
    }
}

/** Outcome of work that was looked up by its key. */
internal sealed interface ResolvedWork {
    /** Point that a majority must confirm before the outcome is reported. */
    val point: HistoryPoint

    class Ran(val work: CommittedWork) : ResolvedWork {
        override val point get() = work.point
    }

    class NotRun(override val point: HistoryPoint) : ResolvedWork
}
