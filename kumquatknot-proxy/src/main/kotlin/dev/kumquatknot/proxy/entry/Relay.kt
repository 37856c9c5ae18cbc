package dev.kumquatknot.proxy.entry

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import dev.kumquatknot.core.configuration.MemberConfiguration
import dev.kumquatknot.core.identity.VmName
import dev.kumquatknot.core.membership.VmRecord
import dev.kumquatknot.core.outcome.Effect
import dev.kumquatknot.core.outcome.Failure
import dev.kumquatknot.core.outcome.FailureReason
import dev.kumquatknot.core.outcome.Peer
import dev.kumquatknot.core.outcome.Step
import dev.kumquatknot.core.time.Clock
import dev.kumquatknot.proxy.peer.PeerFailure
import dev.kumquatknot.proxy.peer.PeerPort
import dev.kumquatknot.proxy.relay.RelayAnswer
import dev.kumquatknot.proxy.relay.RelayReply
import dev.kumquatknot.proxy.relay.RelayRequest
import dev.kumquatknot.proxy.work.isRepeatable
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Returns the VMs that may serve a member: its gateway, then the fallback gateways. */
internal typealias GatewayOrder = (MemberConfiguration) -> List<VmRecord>

/** Serves a request on this VM without a call to a peer. */
internal typealias ServeLocally = (RelayRequest) -> RelayReply

/** An [answer] of a member and the VM through which it was obtained. */
internal class RelayedAnswer(val vm: VmName, val answer: RelayAnswer)

/**
 * Sends a request to a VM that holds connections to its member: this VM, the gateway of the member, or a fallback
 * gateway if the gateway is unreachable or shutting down.
 */
internal class Relay(
    private val self: VmName,
    private val gatewayOrder: GatewayOrder,
    private val serveLocally: ServeLocally,
    private val peers: PeerPort,
    private val groups: GroupCache,
    private val clock: Clock,
    private val onVmUnreachable: (VmName) -> Unit,
) {
    /** Sends [request] to the gateway of [member], then to the fallback gateways as long as a repetition is safe. */
    fun send(member: MemberConfiguration, request: RelayRequest, deadline: Duration): Either<Failure, RelayedAnswer> {
        var last = noVmAvailable(request)
        gatewayOrder(member).forEach { vm ->
            if (deadline <= clock.elapsed()) return deadlinePassed(request).withEffectOf(last).left()
            val result = sendTo(vm, request, deadline)
            val failure = result.leftOrNull() ?: return result
            last = failure.withEffectOf(last)
            val mayTryNext = failure.isVmFailure && (failure.effect == Effect.NOT_RUN || request.isRepeatable)
            if (!mayTryNext) return last.left()
        }
        return last.left()
    }

    /** Sends [request] to [vm] only. */
    fun sendTo(vm: VmRecord, request: RelayRequest, deadline: Duration): Either<Failure, RelayedAnswer> {
        val timedRequest = request.copy(remaining = deadline - clock.elapsed())
        val reply = if (vm.name == self) serveLocally(timedRequest).right() else peers.execute(vm, timedRequest)
        return reply.fold(
            { failure ->
                if (failure is PeerFailure.NotSent) onVmUnreachable(vm.name)
                failure.toFailure().left()
            },
            {
                groups.recordStatus(request.database, request.member, it.status)
                it.result.map { answer -> RelayedAnswer(vm.name, answer) }
            },
        )
    }

    private fun PeerFailure.toFailure() = Failure(
        reason = FailureReason.VM_UNREACHABLE,
        effect = if (this is PeerFailure.NotSent) Effect.NOT_RUN else Effect.UNKNOWN,
        step = Step.RELAY,
        peer = Peer.Vm(peer),
        detail = detail,
        retryAfter = RETRY_AFTER,
    )

    /** Keeps the unknown effect of an [earlier] attempt: the request may have run, whatever a later VM answers. */
    private fun Failure.withEffectOf(earlier: Failure): Failure =
        if (earlier.effect == Effect.UNKNOWN) copy(effect = Effect.UNKNOWN) else this

    private val Failure.isVmFailure: Boolean
        get() = reason == FailureReason.VM_UNREACHABLE || reason == FailureReason.SHUTTING_DOWN

    private fun noVmAvailable(request: RelayRequest) = Failure(
        reason = FailureReason.VM_UNREACHABLE,
        effect = Effect.NOT_RUN,
        step = Step.RELAY,
        peer = Peer.Local,
        detail = "no VM takes work for member ${request.member}",
        retryAfter = RETRY_AFTER,
    )

    private fun deadlinePassed(request: RelayRequest) = Failure(
        reason = FailureReason.DEADLINE_PASSED,
        effect = Effect.NOT_RUN,
        step = Step.RELAY,
        peer = Peer.Local,
        detail = "the deadline passed before member ${request.member} was asked",
    )

    private companion object {
        val RETRY_AFTER = 500.milliseconds
    }
}
