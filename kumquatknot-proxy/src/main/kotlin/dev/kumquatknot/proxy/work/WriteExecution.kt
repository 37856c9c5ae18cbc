package dev.kumquatknot.proxy.work

import arrow.core.Either
import arrow.core.left
import arrow.core.raise.either
import arrow.core.right
import dev.kumquatknot.core.databasegroup.Confirmation
import dev.kumquatknot.core.history.HistoryPoint
import dev.kumquatknot.core.history.Term
import dev.kumquatknot.core.member.MemberRole
import dev.kumquatknot.core.member.Statement
import dev.kumquatknot.core.outcome.Effect
import dev.kumquatknot.core.outcome.Failure
import dev.kumquatknot.core.outcome.FailureReason
import dev.kumquatknot.core.outcome.Peer
import dev.kumquatknot.core.outcome.Step
import dev.kumquatknot.proxy.relay.RelayAnswer
import dev.kumquatknot.proxy.relay.RelayRequest
import kotlin.time.Duration

/** Runs writes at the primary and acknowledges each only after a majority holds it in the primary's term. */
internal class WriteExecution(private val keyed: KeyedExecution) {
    /** Runs [statements] in one transaction and waits for its confirmation. */
    fun execute(
        host: MemberHost,
        request: RelayRequest,
        statements: List<Statement>,
        deadline: Duration,
    ): Either<Failure, RelayAnswer> = either {
        val attempt = Attempt(host, request, primaryTerm(host).bind(), deadline)
        val key = request.key
        val work = if (key == null) run(attempt, statements).bind() else keyed.execute(attempt, key, statements).bind()
        confirm(host, work.point, deadline).bind()
        RelayAnswer(work.results, work.point, MemberRole.PRIMARY, work.repeated)
    }

    /**
     * Determines the outcome of the work that was sent with the key of [request].
     *
     * @param statements the work, if it is known; a record of other work under the key is then refused.
     */
    fun resolve(
        host: MemberHost,
        request: RelayRequest,
        deadline: Duration,
        statements: List<Statement>? = null,
    ): Either<Failure, RelayAnswer> = either {
        val key = request.key ?: raise(request.missingKeyFailure())
        val attempt = Attempt(host, request, primaryTerm(host).bind(), deadline)
        val resolved = keyed.resolve(attempt, key, statements).bind()
        confirm(host, resolved.point, deadline).bind()
        when (resolved) {
            is ResolvedWork.NotRun -> raise(request.abandonedFailure())
            is ResolvedWork.Ran -> RelayAnswer(
                resolved.work.results,
                resolved.point,
                MemberRole.PRIMARY,
                repeated = true,
            )
        }
    }.mapLeft { if (it.step == Step.RESOLVE) it else it.copy(effect = Effect.UNKNOWN) }

    /** Blocks until a majority holds [point]; after a failure the outcome is unknown. */
    fun confirm(host: MemberHost, point: HistoryPoint, deadline: Duration): Either<Failure, Unit> {
        if (host.group.awaitConfirmation(point, host.name, deadline) == Confirmation.CONFIRMED) return Unit.right()
        return Failure(
            reason = FailureReason.UNCONFIRMED,
            effect = Effect.UNKNOWN,
            step = Step.CONFIRM,
            peer = Peer.Member(host.name),
            detail = "the transaction committed at point $point and no other member confirmed it in time",
            retryAfter = MEMBER_FAILURE_RETRY_AFTER,
        ).left()
    }

    /** Returns the term in which the member is the primary, or a failure if another member is or none is known. */
    fun primaryTerm(host: MemberHost): Either<Failure, Term> {
        val view = host.group.view()
        if (view.primary == host.name) return view.term.right()
        return Failure(
            reason = FailureReason.NO_PRIMARY,
            effect = Effect.NOT_RUN,
            step = Step.ROUTE,
            peer = Peer.Member(host.name),
            detail = "member ${host.name} is not the primary; the primary is ${view.primary ?: "not known"}",
            retryAfter = MEMBER_FAILURE_RETRY_AFTER,
        ).left()
    }

    private fun run(attempt: Attempt, statements: List<Statement>): Either<Failure, CommittedWork> =
        attempt.run(statements)
            .mapLeft { it.toFailure(effectIfUnanswered = Effect.UNKNOWN) }
            .map { CommittedWork(it.results, it.point) }

    private fun RelayRequest.missingKeyFailure() =
        Failure(FailureReason.KEY_REQUIRED, Effect.NOT_RUN, Step.RESOLVE, Peer.Caller, "the request names no key")

    private fun RelayRequest.abandonedFailure() = Failure(
        reason = FailureReason.ABANDONED,
        effect = Effect.NOT_RUN,
        step = Step.RESOLVE,
        peer = Peer.Member(member),
        detail = "the work with key \"${key?.value}\" did not run, and no earlier attempt will run any more",
    )
}
