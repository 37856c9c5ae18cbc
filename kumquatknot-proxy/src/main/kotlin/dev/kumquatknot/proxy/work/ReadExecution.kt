package dev.kumquatknot.proxy.work

import arrow.core.Either
import arrow.core.left
import arrow.core.raise.either
import arrow.core.raise.ensure
import arrow.core.raise.ensureNotNull
import arrow.core.right
import dev.kumquatknot.core.history.Term
import dev.kumquatknot.core.member.BatchEnd
import dev.kumquatknot.core.member.BatchReply
import dev.kumquatknot.core.member.MemberFailure
import dev.kumquatknot.core.member.MemberRole
import dev.kumquatknot.core.member.Statement
import dev.kumquatknot.core.member.StatementBatch
import dev.kumquatknot.core.outcome.Effect
import dev.kumquatknot.core.outcome.Failure
import dev.kumquatknot.core.outcome.FailureReason
import dev.kumquatknot.core.outcome.Peer
import dev.kumquatknot.core.outcome.Step
import dev.kumquatknot.core.time.Clock
import dev.kumquatknot.proxy.member.GatewayFailure
import dev.kumquatknot.proxy.relay.RelayAnswer
import dev.kumquatknot.proxy.relay.RelayRequest
import kotlin.time.Duration

/**
 * Runs a read at a member. The answer is checked against the freshness requirements of the request after it has
 * arrived, so that an outdated view of the member can cost time but never return stale data.
 */
internal class ReadExecution(private val clock: Clock) {
    fun execute(host: MemberHost, request: RelayRequest, statements: List<Statement>, deadline: Duration) = when {
        request.needs.requiresConfirmedPrimary -> executeAtConfirmedPrimary(host, request, statements, deadline)
        else -> executeFresh(host, request, statements, deadline)
    }

    private fun executeAtConfirmedPrimary(
        host: MemberHost,
        request: RelayRequest,
        statements: List<Statement>,
        deadline: Duration,
    ): Either<Failure, RelayAnswer> = either {
        val since = clock.elapsed()
        val standing = ensureNotNull(host.group.awaitStanding(since, deadline)) {
            notFresh(host, "no majority was seen to follow a primary in time")
        }
        ensure(standing.primary == host.name) { notFresh(host, "member ${host.name} is not the primary") }
        val reply = run(host, request, statements, standing.term, deadline).bind()
        RelayAnswer(reply.results, reply.point, MemberRole.PRIMARY)
    }

    private fun executeFresh(
        host: MemberHost,
        request: RelayRequest,
        statements: List<Statement>,
        deadline: Duration,
    ): Either<Failure, RelayAnswer> {
        val catchUpUntil = minOf(deadline, clock.elapsed() + request.catchUpTimeout)
        while (true) {
            if (!host.catchUpMonitor.await(request.needs.required, catchUpUntil)) {
                return notFresh(host, "member ${host.name} has not reached point ${request.needs.required}").left()
            }
            val since = clock.elapsed()
            val reply = run(host, request, statements, host.group.view().term, deadline).fold({
                return it.left()
            }, { it })
            if (reply.isFresh(host, request, since, deadline)) return reply.toAnswer(host).right()
            if (clock.elapsed() >= catchUpUntil) {
                return notFresh(host, "member ${host.name} does not prove an age of ${request.needs.maximumAge}").left()
            }
            pauseBeforeRetry(catchUpUntil)
        }
    }

    private fun BatchReply.isFresh(
        host: MemberHost,
        request: RelayRequest,
        since: Duration,
        deadline: Duration,
    ): Boolean {
        if (!point.covers(request.needs.required)) return false
        val maximumAge = request.needs.maximumAge ?: return true
        val proven = host.group.provenAge(point)
        if (proven != null && proven <= maximumAge) return true
        if (!host.isPrimary) return false
        val standing = host.group.awaitStanding(since, minOf(deadline, since + maximumAge))
        return standing?.primary == host.name && standing.term == point.term && clock.elapsed() - since <= maximumAge
    }

    private fun BatchReply.toAnswer(host: MemberHost): RelayAnswer {
        val role = if (host.isPrimary) MemberRole.PRIMARY else MemberRole.REPLICA
        return RelayAnswer(results, point, role)
    }

    private fun run(
        host: MemberHost,
        request: RelayRequest,
        statements: List<Statement>,
        term: Term,
        deadline: Duration,
    ): Either<Failure, BatchReply> {
        val first = host.runBatch(request.toWorkItem(deadline), request.toBatch(statements, term), request.replyTimeout)
        val newerTerm = first.leftOrNull()?.newerTerm()
        val last = if (newerTerm == null || request.needs.requiresConfirmedPrimary) {
            first
        } else {
            host.runBatch(request.toWorkItem(deadline), request.toBatch(statements, newerTerm), request.replyTimeout)
        }
        return last.mapLeft { it.toFailure(effectIfUnanswered = Effect.NOT_RUN) }
    }

    private fun GatewayFailure.newerTerm(): Term? =
        ((this as? GatewayFailure.Failed)?.failure as? MemberFailure.LowerTerm)?.acceptedTerm

    private fun RelayRequest.toBatch(statements: List<Statement>, term: Term) =
        StatementBatch(id, term, readOnly = true, statements = statements, end = BatchEnd.COMMIT)

    private fun pauseBeforeRetry(until: Duration) {
        val pause = minOf(FRESHNESS_POLL_MILLIS, (until - clock.elapsed()).inWholeMilliseconds).coerceAtLeast(1)
        Thread.sleep(pause)
    }

    private fun notFresh(host: MemberHost, detail: String) = Failure(
        reason = FailureReason.NOT_FRESH_ENOUGH,
        effect = Effect.NOT_RUN,
        step = Step.WAIT_FOR_REPLICA,
        peer = Peer.Member(host.name),
        detail = detail,
        retryAfter = MEMBER_FAILURE_RETRY_AFTER,
    )

    private companion object {
        const val FRESHNESS_POLL_MILLIS = 20L
    }
}
