package dev.kumquatknot.standin.fleet

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import dev.kumquatknot.core.identity.DatabaseName
import dev.kumquatknot.core.identity.MemberName
import dev.kumquatknot.core.identity.VmName
import dev.kumquatknot.core.membership.VmRecord
import dev.kumquatknot.proxy.peer.GossipMessage
import dev.kumquatknot.proxy.peer.PeerConfiguration
import dev.kumquatknot.proxy.peer.PeerFailure
import dev.kumquatknot.proxy.peer.PeerPort
import dev.kumquatknot.proxy.peer.PeerService
import dev.kumquatknot.proxy.peer.MemberObservation
import dev.kumquatknot.proxy.relay.RelayReply
import dev.kumquatknot.proxy.relay.RelayRequest
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration

/** A network between nodes in one process. Calls run on the caller's thread; cut links lose them. */
class FakeNetwork {
    private val services = ConcurrentHashMap<VmName, PeerService>()
    private val cutOff = ConcurrentHashMap.newKeySet<VmName>()
    private val loseAnswersOf = ConcurrentHashMap.newKeySet<VmName>()

    fun join(vm: VmName, service: PeerService) {
        services[vm] = service
    }

    /** The process is gone: calls to it are refused. */
    fun remove(vm: VmName) {
        services.remove(vm)
    }

    /** Neither calls from nor to [vm] arrive. */
    fun cut(vm: VmName) {
        cutOff += vm
    }

    /** Calls to [vm] take effect, and their answers are lost. */
    fun loseAnswers(vm: VmName) {
        loseAnswersOf += vm
    }

    fun heal() {
        cutOff.clear()
        loseAnswersOf.clear()
    }

    fun portOf(vm: VmName): PeerPort = Port(vm)

    private inner class Port(private val from: VmName) : PeerPort {
        override fun execute(peer: VmRecord, request: RelayRequest): Either<PeerFailure, RelayReply> =
            call(peer) { it.execute(request) }

        override fun gossip(peer: VmRecord, message: GossipMessage, timeout: Duration) =
            call(peer) { it.gossip(message) }

        override fun probeIndirectly(peer: VmRecord, target: VmRecord, timeout: Duration) =
            call(peer) { it.probeIndirectly(target.name, target.address) }

        override fun configuration(
            peer: VmRecord,
            known: Long,
            timeout: Duration,
        ): Either<PeerFailure, PeerConfiguration> = call(peer) { it.configuration(known) }

        override fun memberObservation(
            peer: VmRecord,
            database: DatabaseName,
            member: MemberName,
            timeout: Duration,
        ): Either<PeerFailure, MemberObservation> = call(peer) { it.memberObservation(database, member) }

        override fun disconnect(peer: VmName) = Unit

        private fun <T> call(peer: VmRecord, action: (PeerService) -> T): Either<PeerFailure, T> {
            val service = services[peer.name] ?: return PeerFailure.NotSent(peer.name, "connection refused").left()
            if (from in cutOff || peer.name in cutOff) return PeerFailure.NoAnswer(peer.name, "no answer").left()
            val answer = action(service)
            return if (peer.name in loseAnswersOf) PeerFailure.NoAnswer(peer.name, "lost").left() else answer.right()
        }
    }
}
