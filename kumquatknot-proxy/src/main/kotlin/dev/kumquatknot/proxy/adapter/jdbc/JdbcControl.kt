package dev.kumquatknot.proxy.adapter.jdbc

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import dev.kumquatknot.core.history.HistoryPoint
import dev.kumquatknot.core.history.Term
import dev.kumquatknot.core.identity.MemberName
import dev.kumquatknot.core.member.MemberFailure
import dev.kumquatknot.core.member.MemberReport
import dev.kumquatknot.core.member.MemberRole
import dev.kumquatknot.core.member.TermProposal
import dev.kumquatknot.core.outcome.Step
import java.sql.Connection
import java.util.concurrent.Executor
import java.util.concurrent.atomic.AtomicReference
import kotlin.time.Duration

/**
 * Control calls to one member, each over a separate connection.
 *
 * A replica cannot store a term: it accepts a term by pausing replay, and this object keeps the accepted term. The term
 * that a replica reports is the higher one of this term and the one in its copy of the term table.
 */
internal class JdbcControl(
    private val member: MemberName,
    private val connect: (timeout: Duration) -> Either<MemberFailure, Connection>,
    private val executor: Executor,
    private val addressOf: (MemberName) -> String?,
) {
    private val acceptedAtReplica = AtomicReference<TermProposal?>()

    fun report(timeout: Duration): Either<MemberFailure, MemberReport> =
        call(Step.PROBE, timeout) { readReport(it).right() }

    fun acceptTerm(proposal: TermProposal, timeout: Duration): Either<MemberFailure, MemberReport> =
        call(Step.PROMOTE, timeout) { connection ->
            val accepted = if (ServerFunctions.isReplica(connection)) {
                acceptAtReplica(connection, proposal)
            } else {
                TermTable.accept(connection, proposal)
            }
            reportIfAccepted(accepted, connection)
        }

    fun promote(proposal: TermProposal, timeout: Duration): Either<MemberFailure, MemberReport> =
        call(Step.PROMOTE, timeout) { connection ->
            val row = TermTable.read(connection)
            val isAccepted = acceptedAtReplica.get() == proposal || row.isAcceptanceOf(proposal)
            when {
                !isAccepted && acceptedTerm(connection) < proposal.term ->
                    MemberFailure.NotPrimary(member, Step.PROMOTE, acceptedTerm(connection)).left()
                !isAccepted || row.accepted > proposal.term -> lowerTerm(connection)
                ServerFunctions.isReplica(connection) && !ServerFunctions.promote(connection, timeout) ->
                    MemberFailure.NoAnswer(member, Step.PROMOTE, "the promotion did not end in time").left()
                else -> beginServing(connection, proposal)
            }
        }

    fun follow(term: Term, primary: MemberName, timeout: Duration): Either<MemberFailure, MemberReport> =
        call(Step.PROMOTE, timeout) { connection ->
            when {
                acceptedTerm(connection) > term -> lowerTerm(connection)
                !ServerFunctions.isReplica(connection) ->
                    notSupported("a former primary follows only after pg_rewind and a restart as standby")
                ServerFunctions.upstream(connection) != addressOf(primary) ->
                    notSupported("the standby does not receive from $primary; its primary_conninfo must name it")
                else -> {
                    ServerFunctions.resumeReplay(connection)
                    readReport(connection).right()
                }
            }
        }

    private fun acceptAtReplica(connection: Connection, proposal: TermProposal): Boolean {
        if (TermTable.read(connection).accepted >= proposal.term) return false
        val accepted = acceptedAtReplica.updateAndGet { current ->
            if (current == null || current.term < proposal.term) proposal else current
        }
        if (accepted != proposal) return false
        ServerFunctions.pauseReplay(connection)
        return true
    }

    private fun beginServing(connection: Connection, proposal: TermProposal): Either<MemberFailure, MemberReport> {
        val row = TermTable.read(connection)
        if (row.servesChanges(proposal.term) && row.isAcceptanceOf(proposal)) return readReport(connection).right()
        return reportIfAccepted(TermTable.serve(connection, proposal), connection)
    }

    private fun reportIfAccepted(accepted: Boolean, connection: Connection): Either<MemberFailure, MemberReport> =
        if (accepted) readReport(connection).right() else lowerTerm(connection)

    private fun readReport(connection: Connection): MemberReport {
        val replica = ServerFunctions.isReplica(connection)
        val position = ServerFunctions.position(connection, replica)
        val row = TermTable.read(connection)
        val primary = !replica && row.servesChanges(row.accepted)
        return MemberReport(
            member = member,
            role = if (primary) MemberRole.PRIMARY else MemberRole.REPLICA,
            acceptedTerm = acceptedTerm(connection),
            lastEntry = HistoryPoint(row.serving, position),
            primaryContactAge = primaryContactAge(connection, replica, primary),
        )
    }

    private fun primaryContactAge(connection: Connection, replica: Boolean, primary: Boolean): Duration? = when {
        primary -> null
        replica -> ServerFunctions.primaryContactAge(connection)
        else -> Duration.INFINITE
    }

    private fun acceptedTerm(connection: Connection): Term {
        val storedTerm = TermTable.read(connection).accepted
        return maxOf(storedTerm, acceptedAtReplica.get()?.term ?: storedTerm)
    }

    private fun lowerTerm(connection: Connection) =
        MemberFailure.LowerTerm(member, Step.PROMOTE, acceptedTerm(connection)).left()

    private fun notSupported(detail: String) =
        MemberFailure.StatementFailed(member, SqlStates.NOT_SUPPORTED, detail).left()

    private fun call(
        step: Step,
        timeout: Duration,
        action: (Connection) -> Either<MemberFailure, MemberReport>,
    ): Either<MemberFailure, MemberReport> {
        val connection = connect(timeout).fold({ return it.left() }, { it })
        val outcome = callBlocking(executor, timeout) { connection.use(action) }
        return outcome.fold({ failure(it, step, connection) }, { it })
    }

    private fun failure(failure: BlockingFailure, step: Step, connection: Connection) = when (failure) {
        is BlockingFailure.Sql -> SqlStates.batchFailure(member, step, Term(0), failure.exception)
        BlockingFailure.TimedOut -> {
            executor.execute { connection.abort(executor) }
            MemberFailure.NoAnswer(member, step, "no answer in time")
        }
    }.left()
}
