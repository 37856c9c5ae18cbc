package dev.kumquatknot.proxy.work

import dev.kumquatknot.core.admission.RefusalReason
import dev.kumquatknot.core.member.MemberFailure
import dev.kumquatknot.core.outcome.Effect
import dev.kumquatknot.core.outcome.Failure
import dev.kumquatknot.core.outcome.FailureReason
import dev.kumquatknot.core.outcome.Peer
import dev.kumquatknot.core.outcome.Step
import dev.kumquatknot.proxy.member.GatewayFailure
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Time after which a caller may retry when a member was unreachable or its group has no primary. */
internal val MEMBER_FAILURE_RETRY_AFTER: Duration = 500.milliseconds

/**
 * Converts a failure of a gateway to the failure that the caller receives.
 *
 * @param effectIfUnanswered effect to report if the member did not answer: [Effect.UNKNOWN] if the batch could commit,
 * [Effect.NOT_RUN] if its transaction is rolled back with the connection.
 */
internal fun GatewayFailure.toFailure(effectIfUnanswered: Effect): Failure = when (this) {
    is GatewayFailure.Refused -> Failure(
        reason = reason.toFailureReason(),
        effect = Effect.NOT_RUN,
        step = Step.ADMIT,
        peer = Peer.Member(member),
        detail = "admission at member $member refused the work",
        retryAfter = retryAfter,
    )
    is GatewayFailure.ConnectFailed -> failure.toFailure(Effect.NOT_RUN)
    is GatewayFailure.NoFreeConnection -> Failure(
        reason = FailureReason.OVERLOADED,
        effect = Effect.NOT_RUN,
        step = Step.CONNECT,
        peer = Peer.Member(member),
        detail = "no connection to member $member came free before the deadline",
        retryAfter = retryAfter,
    )
    is GatewayFailure.NotServed -> Failure(
        reason = FailureReason.SHUTTING_DOWN,
        effect = Effect.NOT_RUN,
        step = Step.ADMIT,
        peer = Peer.Member(member),
        detail = "this VM no longer serves member $member",
        retryAfter = Duration.ZERO,
    )
    is GatewayFailure.Failed -> failure.toFailure(effectIfUnanswered)
}

private fun RefusalReason.toFailureReason(): FailureReason = when (this) {
    RefusalReason.DEADLINE_UNREACHABLE -> FailureReason.DEADLINE_UNREACHABLE
    RefusalReason.OVERLOADED -> FailureReason.OVERLOADED
    RefusalReason.DEADLINE_PASSED -> FailureReason.DEADLINE_PASSED
}

private fun MemberFailure.toFailure(effectIfUnanswered: Effect): Failure = Failure(
    reason = toFailureReason(),
    effect = if (this is MemberFailure.NoAnswer) effectIfUnanswered else Effect.NOT_RUN,
    step = step,
    peer = Peer.Member(member),
    detail = detail,
    retryAfter = MEMBER_FAILURE_RETRY_AFTER.takeIf { this !is MemberFailure.StatementFailed },
)

private fun MemberFailure.toFailureReason(): FailureReason = when (this) {
    is MemberFailure.Unreachable -> FailureReason.CONNECTION_REFUSED
    is MemberFailure.TooManyConnections -> FailureReason.CONNECTION_REFUSED
    is MemberFailure.LowerTerm -> FailureReason.SUPERSEDED
    is MemberFailure.NotPrimary -> FailureReason.NO_PRIMARY
    is MemberFailure.StatementFailed -> FailureReason.STATEMENT_FAILED
    is MemberFailure.NoAnswer -> FailureReason.CONNECTION_LOST
}
