package dev.kumquatknot.proxy.adapter.standin

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import dev.kumquatknot.core.history.Term
import dev.kumquatknot.core.identity.MemberName
import dev.kumquatknot.core.identity.RequestId
import dev.kumquatknot.core.member.BatchEnd
import dev.kumquatknot.core.member.BatchReply
import dev.kumquatknot.core.member.MemberFailure
import dev.kumquatknot.core.member.MemberReport
import dev.kumquatknot.core.member.MemberRole
import dev.kumquatknot.core.member.StatementBatch
import dev.kumquatknot.core.outcome.Step
import dev.kumquatknot.protocol.standin.AnswerMessage
import dev.kumquatknot.protocol.standin.BatchEndMessage
import dev.kumquatknot.protocol.standin.BatchMessage
import dev.kumquatknot.protocol.standin.ControlReply
import dev.kumquatknot.protocol.standin.FailureMessage
import dev.kumquatknot.protocol.standin.LowerTermMessage
import dev.kumquatknot.protocol.standin.NoAnswerMessage
import dev.kumquatknot.protocol.standin.NotPrimaryMessage
import dev.kumquatknot.protocol.standin.ReplyMessage
import dev.kumquatknot.protocol.standin.ReportMessage
import dev.kumquatknot.protocol.standin.StatementFailedMessage
import dev.kumquatknot.protocol.standin.TooManyConnectionsMessage
import dev.kumquatknot.protocol.standin.UnreachableMessage
import dev.kumquatknot.proxy.peer.toHistoryPoint
import dev.kumquatknot.proxy.peer.toMessage
import dev.kumquatknot.proxy.peer.toStatement
import dev.kumquatknot.proxy.peer.toStatementResult
import kotlin.time.Duration.Companion.nanoseconds

/** Converts the member port's types to the messages of the stand-in database and back, for client and server. */
public object MemberMessages {
    /** Converts a batch to its message. */
    public fun batch(batch: StatementBatch): BatchMessage = BatchMessage.newBuilder()
        .setRequest(batch.request.value)
        .setTerm(batch.term.value)
        .setReadOnly(batch.readOnly)
        .addAllStatements(batch.statements.map { it.toMessage() })
        .setEnd(BatchEndMessage.forNumber(batch.end.ordinal))
        .build()

    /** Converts a batch from its message. */
    public fun batch(message: BatchMessage): StatementBatch = StatementBatch(
        request = RequestId(message.request),
        term = Term(message.term),
        readOnly = message.readOnly,
        statements = message.statementsList.map { it.toStatement() },
        end = BatchEnd.entries[message.endValue],
    )

    /** Converts the outcome of the batch with [request] to its message. */
    public fun answer(request: RequestId, outcome: Either<MemberFailure, BatchReply>): AnswerMessage =
        AnswerMessage.newBuilder().setRequest(request.value).also { builder ->
            outcome.fold({ builder.setFailure(failure(it)) }, { builder.setReply(it.toMessage()) })
        }.build()

    /** Converts from its message the answer of [member] to a batch that was sent in [step]. */
    public fun answer(message: AnswerMessage, member: MemberName, step: Step): Either<MemberFailure, BatchReply> =
        if (message.hasFailure()) failure(message.failure, member, step).left() else message.toReply().right()

    /** Converts the outcome of a control call to its message. */
    public fun control(outcome: Either<MemberFailure, MemberReport>): ControlReply =
        ControlReply.newBuilder().also { builder ->
            outcome.fold({ builder.setFailure(failure(it)) }, { builder.setReport(it.toMessage()) })
        }.build()

    /** Converts from its message the answer of [member] to a control call that was sent in [step]. */
    public fun control(message: ControlReply, member: MemberName, step: Step): Either<MemberFailure, MemberReport> =
        if (message.hasFailure()) failure(message.failure, member, step).left() else message.report.toReport().right()

    /** Converts a failure to its message, without member and step, which the receiver knows. */
    public fun failure(failure: MemberFailure): FailureMessage = FailureMessage.newBuilder().also {
        when (failure) {
            is MemberFailure.Unreachable ->
                it.setUnreachable(UnreachableMessage.newBuilder().setDetail(failure.detail))
            is MemberFailure.TooManyConnections ->
                it.setTooManyConnections(TooManyConnectionsMessage.newBuilder().setDetail(failure.detail))
            is MemberFailure.LowerTerm ->
                it.setLowerTerm(LowerTermMessage.newBuilder().setAcceptedTerm(failure.acceptedTerm.value))
            is MemberFailure.NotPrimary ->
                it.setNotPrimary(NotPrimaryMessage.newBuilder().setAcceptedTerm(failure.acceptedTerm.value))
            is MemberFailure.StatementFailed -> it.setStatementFailed(
                StatementFailedMessage.newBuilder().setSqlState(failure.sqlState).setDetail(failure.detail),
            )
            is MemberFailure.NoAnswer -> it.setNoAnswer(NoAnswerMessage.newBuilder().setDetail(failure.detail))
        }
    }.build()

    /** Converts from its message a failure that [member] reports for a call that was sent in [step]. */
    public fun failure(message: FailureMessage, member: MemberName, step: Step): MemberFailure =
        when (message.kindCase) {
            FailureMessage.KindCase.UNREACHABLE -> MemberFailure.Unreachable(member, step, message.unreachable.detail)
            FailureMessage.KindCase.TOO_MANY_CONNECTIONS ->
                MemberFailure.TooManyConnections(member, message.tooManyConnections.detail)
            FailureMessage.KindCase.LOWER_TERM ->
                MemberFailure.LowerTerm(member, step, Term(message.lowerTerm.acceptedTerm))
            FailureMessage.KindCase.NOT_PRIMARY ->
                MemberFailure.NotPrimary(member, step, Term(message.notPrimary.acceptedTerm))
            FailureMessage.KindCase.STATEMENT_FAILED ->
                MemberFailure.StatementFailed(member, message.statementFailed.sqlState, message.statementFailed.detail)
            FailureMessage.KindCase.NO_ANSWER -> MemberFailure.NoAnswer(member, step, message.noAnswer.detail)
            FailureMessage.KindCase.KIND_NOT_SET, null ->
                MemberFailure.NoAnswer(member, step, "the member reports a failure of an unknown kind")
        }

    private fun BatchReply.toMessage() = ReplyMessage.newBuilder()
        .addAllResults(results.map { it.toMessage() })
        .setPoint(point.toMessage())
        .setAcceptedTerm(acceptedTerm.value)
        .build()

    private fun AnswerMessage.toReply() = BatchReply(
        request = RequestId(request),
        results = reply.resultsList.map { it.toStatementResult() },
        point = reply.point.toHistoryPoint(),
        acceptedTerm = Term(reply.acceptedTerm),
    )

    private fun MemberReport.toMessage() = ReportMessage.newBuilder()
        .setMember(member.value)
        .setPrimary(role == MemberRole.PRIMARY)
        .setAcceptedTerm(acceptedTerm.value)
        .setLastEntry(lastEntry.toMessage())
        .also { builder -> primaryContactAge?.let { builder.setPrimaryContactAgeNanos(it.inWholeNanoseconds) } }
        .build()

    private fun ReportMessage.toReport() = MemberReport(
        member = MemberName(member),
        role = if (primary) MemberRole.PRIMARY else MemberRole.REPLICA,
        acceptedTerm = Term(acceptedTerm),
        lastEntry = lastEntry.toHistoryPoint(),
        primaryContactAge = if (hasPrimaryContactAgeNanos()) primaryContactAgeNanos.nanoseconds else null,
    )
}
