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

/** Returns the VMs that may serve a member, the gateway first. */
internal typealias GatewayOrder = (MemberConfiguration) -> List<VmRecord>

/** Serves a request at this VM itself. */
internal typealias ServeLocally = (RelayRequest) -> RelayReply

/** An [answer] and the VM that gave it. */
internal class Relayed(val vm: VmName, val answer: RelayAnswer)

/**
 * Carries a request to the VM that holds the connections of its member: to this one, to the gateway, or, where that
 * is unreachable or leaving, to a deputy.
 */
internal class Relay(
    private val self: VmName,
    private val order: GatewayOrder,
    private val serveLocally: ServeLocally,
    private val peers: PeerPort,
    private val groups: GroupTable,
    private val clock: Clock,
    private val onUnreachable: (VmName) -> Unit,
) {
    /** Sends [request] to the gateway of [member] or to a deputy and returns what came of it. */
    fun send(member: MemberConfiguration, request: RelayRequest, deadline: Duration): Either<Failure, Relayed> {
        var last = noVm(request)
        order(member).forEach { vm ->
            if (deadline <= clock.elapsed()) return deadlinePassed(request).after(last).left()
            val result = sendTo(vm, request, deadline)
            val failure = result.leftOrNull() ?: return result
            last = failure.after(last)
            val mayTryNext = failure.isAboutVm && (failure.effect == Effect.NOT_RUN || request.isRepeatable)
            if (!mayTryNext) return last.left()
        }
        return last.left()
    }

    /** Sends [request] to [vm] alone. */
    fun sendTo(vm: VmRecord, request: RelayRequest, deadline: Duration): Either<Failure, Relayed> {
        val timed = request.copy(remaining = deadline - clock.elapsed())
        val reply = if (vm.name == self) serveLocally(timed).right() else peers.execute(vm, timed)
        return reply.fold(
            { failure ->
                if (failure is PeerFailure.NotSent) onUnreachable(vm.name)
                failure.toFailure().left()
            },
            {
                groups.learn(request.database, request.member, it.status)
                it.result.map { answer -> Relayed(vm.name, answer) }
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

    /** A request that may have run at an [earlier] VM stays unknown, whatever a later one says. */
    private fun Failure.after(earlier: Failure): Failure =
        if (earlier.effect == Effect.UNKNOWN) copy(effect = Effect.UNKNOWN) else this

    private val Failure.isAboutVm: Boolean
        get() = reason == FailureReason.VM_UNREACHABLE || reason == FailureReason.SHUTTING_DOWN

    private fun noVm(request: RelayRequest) = Failure(
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
