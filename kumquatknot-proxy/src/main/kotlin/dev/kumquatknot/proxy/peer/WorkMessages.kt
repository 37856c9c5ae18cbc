package dev.kumquatknot.proxy.peer

import arrow.core.left
import arrow.core.right
import dev.kumquatknot.core.configuration.Access
import dev.kumquatknot.core.configuration.KindConfiguration
import dev.kumquatknot.core.configuration.Purpose
import dev.kumquatknot.core.configuration.Rank
import dev.kumquatknot.core.configuration.Repetition
import dev.kumquatknot.core.history.Term
import dev.kumquatknot.core.identity.DatabaseName
import dev.kumquatknot.core.identity.KindName
import dev.kumquatknot.core.identity.MemberName
import dev.kumquatknot.core.identity.RequestId
import dev.kumquatknot.core.identity.TeamName
import dev.kumquatknot.core.identity.VmName
import dev.kumquatknot.core.member.MemberRole
import dev.kumquatknot.core.outcome.Effect
import dev.kumquatknot.core.outcome.Failure
import dev.kumquatknot.core.outcome.FailureReason
import dev.kumquatknot.core.outcome.Peer
import dev.kumquatknot.core.outcome.Step
import dev.kumquatknot.core.request.IdempotencyKey
import dev.kumquatknot.core.request.TransactionHandle
import dev.kumquatknot.core.request.Work
import dev.kumquatknot.protocol.node.Kind
import dev.kumquatknot.protocol.node.Statements
import dev.kumquatknot.protocol.node.TransactionNumber
import dev.kumquatknot.protocol.node.TransactionStatements
import dev.kumquatknot.protocol.node.WorkAnswer
import dev.kumquatknot.protocol.node.WorkFailure
import dev.kumquatknot.protocol.node.WorkReply
import dev.kumquatknot.protocol.node.WorkRequest
import dev.kumquatknot.proxy.relay.MemberStatus
import dev.kumquatknot.proxy.relay.ReadNeeds
import dev.kumquatknot.proxy.relay.RelayAnswer
import dev.kumquatknot.proxy.relay.RelayReply
import dev.kumquatknot.proxy.relay.RelayRequest
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import dev.kumquatknot.protocol.node.MemberStatus as MemberStatusMessage
import dev.kumquatknot.protocol.node.Nothing as NothingMessage
import dev.kumquatknot.protocol.node.Rank as RankMessage

internal fun RelayRequest.toMessage(): WorkRequest {
    val builder = WorkRequest.newBuilder()
        .setRequestId(id.value)
        .setTeam(team.value)
        .setKind(kind.toMessage())
        .setDatabase(database.value)
        .setMember(member.value)
        .setRequired(needs.required.toMessage())
        .setStanding(needs.requiresConfirmedPrimary)
        .setIdempotencyKey(key?.value.orEmpty())
        .setRemainingMicros(remaining.inWholeMicroseconds)
        .setCatchUpMicros(catchUpTimeout.inWholeMicroseconds)
    needs.maximumAge?.let { builder.setMaximumAgeMicros(it.inWholeMicroseconds) }
    return builder.setWork(work).build()
}

private fun WorkRequest.Builder.setWork(work: Work): WorkRequest.Builder = when (work) {
    is Work.Read -> setRead(Statements.newBuilder().addAllStatements(work.statements.map { it.toMessage() }))
    is Work.Write -> setWrite(Statements.newBuilder().addAllStatements(work.statements.map { it.toMessage() }))
    Work.Begin -> setBegin(NothingMessage.getDefaultInstance())
    is Work.Run -> setRun(
        TransactionStatements.newBuilder()
            .setNumber(work.transaction.number)
            .addAllStatements(work.statements.map { it.toMessage() }),
    )
    is Work.Commit -> setCommit(TransactionNumber.newBuilder().setNumber(work.transaction.number))
    is Work.Rollback -> setRollback(TransactionNumber.newBuilder().setNumber(work.transaction.number))
    Work.Resolve -> setResolve(NothingMessage.getDefaultInstance())
}

internal fun WorkRequest.toRelayRequest(self: VmName): RelayRequest = RelayRequest(
    id = RequestId(requestId),
    team = TeamName(team),
    kind = kind.toKindConfiguration(),
    database = DatabaseName(database),
    member = MemberName(member),
    needs = ReadNeeds(
        required = required.toHistoryPoint(),
        maximumAge = if (hasMaximumAgeMicros()) maximumAgeMicros.microseconds else null,
        requiresConfirmedPrimary = standing,
    ),
    work = toWork(self),
    key = idempotencyKey.ifEmpty { null }?.let { IdempotencyKey(it) },
    remaining = remainingMicros.microseconds,
    catchUpTimeout = catchUpMicros.microseconds,
)

private fun WorkRequest.toWork(self: VmName): Work = when (workCase) {
    WorkRequest.WorkCase.READ -> Work.Read(read.statementsList.map { it.toStatement() })
    WorkRequest.WorkCase.WRITE -> Work.Write(write.statementsList.map { it.toStatement() })
    WorkRequest.WorkCase.BEGIN -> Work.Begin
    WorkRequest.WorkCase.RUN ->
        Work.Run(TransactionHandle(self, run.number), run.statementsList.map { it.toStatement() })
    WorkRequest.WorkCase.COMMIT -> Work.Commit(TransactionHandle(self, commit.number))
    WorkRequest.WorkCase.ROLLBACK -> Work.Rollback(TransactionHandle(self, rollback.number))
    WorkRequest.WorkCase.RESOLVE, WorkRequest.WorkCase.WORK_NOT_SET, null -> Work.Resolve
}

private fun KindConfiguration.toMessage(): Kind = Kind.newBuilder()
    .setName(name.value)
    .setRank(RankMessage.forNumber(rank.ordinal))
    .setWrite(access == Access.WRITE)
    .setAtMostOnce(repetition == Repetition.AT_MOST_ONCE)
    .setTargetMillis(targetMillis)
    .setDeadlineMillis(deadlineMillis)
    .setFloorPercent(floorPercent)
    .setPurpose(purpose.ordinal)
    .build()

private fun Kind.toKindConfiguration(): KindConfiguration = KindConfiguration(
    name = KindName(name),
    rank = Rank.entries.getOrElse(rankValue) { Rank.BACKGROUND },
    access = if (write) Access.WRITE else Access.READ,
    purpose = Purpose.entries.getOrElse(purpose) { Purpose.OTHER },
    repetition = if (atMostOnce) Repetition.AT_MOST_ONCE else Repetition.IDEMPOTENT,
    targetMillis = targetMillis,
    deadlineMillis = deadlineMillis,
    floorPercent = floorPercent,
)

internal fun RelayReply.toMessage(): WorkReply {
    val builder = WorkReply.newBuilder().setStatus(status.toMessage())
    result.fold({ builder.setFailure(it.toMessage()) }, { builder.setAnswer(it.toMessage()) })
    return builder.build()
}

internal fun WorkReply.toRelayReply(peer: VmName): RelayReply = RelayReply(
    result = if (hasAnswer()) answer.toRelayAnswer().right() else failure.toFailure(peer).left(),
    status = status.toMemberStatus(),
)

private fun RelayAnswer.toMessage(): WorkAnswer = WorkAnswer.newBuilder()
    .addAllResults(results.map { it.toMessage() })
    .setPoint(point.toMessage())
    .setPrimary(role == MemberRole.PRIMARY)
    .setRepeatedAnswer(repeated)
    .setTransaction(transaction ?: NO_TRANSACTION)
    .build()

private fun WorkAnswer.toRelayAnswer(): RelayAnswer = RelayAnswer(
    results = resultsList.map { it.toStatementResult() },
    point = point.toHistoryPoint(),
    role = if (primary) MemberRole.PRIMARY else MemberRole.REPLICA,
    repeated = repeatedAnswer,
    transaction = transaction.takeIf { it != NO_TRANSACTION },
)

private fun Failure.toMessage(): WorkFailure = WorkFailure.newBuilder()
    .setReason(reason.name)
    .setEffect(effect.name)
    .setStep(step.name)
    .setMember((peer as? Peer.Member)?.name?.value.orEmpty())
    .setDetail(detail)
    .setRetryAfterMicros(retryAfter?.inWholeMicroseconds ?: 0)
    .build()

private fun WorkFailure.toFailure(vm: VmName): Failure = Failure(
    reason = FailureReason.entries.firstOrNull { it.name == reason } ?: FailureReason.CONNECTION_LOST,
    effect = Effect.entries.firstOrNull { it.name == effect } ?: Effect.UNKNOWN,
    step = Step.entries.firstOrNull { it.name == step } ?: Step.RELAY,
    peer = member.ifEmpty { null }?.let { Peer.Member(MemberName(it)) } ?: Peer.Vm(vm),
    detail = detail,
    retryAfter = retryAfterMicros.microseconds.takeIf { it > Duration.ZERO },
)

private fun MemberStatus.toMessage(): MemberStatusMessage = MemberStatusMessage.newBuilder()
    .setTerm(term.value)
    .setPrimary(primary?.value.orEmpty())
    .setPoint(point.toMessage())
    .setWaitMicros(wait.inWholeMicroseconds)
    .setServiceMicros(service.inWholeMicroseconds)
    .setInFlight(inFlight)
    .setReachable(reachable)
    .setLagMicros(lag.inWholeMicroseconds)
    .setQueued(queued)
    .build()

private fun MemberStatusMessage.toMemberStatus(): MemberStatus = MemberStatus(
    term = Term(term),
    primary = primary.ifEmpty { null }?.let { MemberName(it) },
    point = point.toHistoryPoint(),
    wait = waitMicros.microseconds,
    service = serviceMicros.microseconds,
    inFlight = inFlight,
    queued = queued,
    lag = lagMicros.microseconds,
    reachable = reachable,
)

private const val NO_TRANSACTION = 0L
