package dev.kumquatknot.proxy.peer

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import dev.kumquatknot.core.configuration.FleetConfiguration
import dev.kumquatknot.core.identity.DatabaseName
import dev.kumquatknot.core.identity.MemberName
import dev.kumquatknot.core.identity.VmName
import dev.kumquatknot.core.membership.VmRecord
import dev.kumquatknot.protocol.node.ConfigurationRequest
import dev.kumquatknot.protocol.node.IndirectProbe
import dev.kumquatknot.protocol.node.NodeGrpc
import dev.kumquatknot.protocol.node.VantageRequest
import dev.kumquatknot.proxy.relay.RelayReply
import dev.kumquatknot.proxy.relay.RelayRequest
import io.grpc.ManagedChannel
import io.grpc.Status
import io.grpc.StatusRuntimeException
import io.grpc.netty.shaded.io.grpc.netty.NettyChannelBuilder
import kotlinx.serialization.json.Json
import java.net.ConnectException
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Calls other nodes by gRPC over one channel for each. A call that passes its deadline without an answer makes the
 * channel open a fresh connection for the next one, because the old one may have gone silent for good.
 */
public class GrpcPeers : PeerPort, AutoCloseable {
    private val channels = ConcurrentHashMap<VmName, PeerChannel>()

    override fun execute(peer: VmRecord, request: RelayRequest): Either<PeerFailure, RelayReply> =
        call(peer, request.remaining + ANSWER_GRACE) { it.execute(request.toMessage()).toRelayReply(peer.name) }

    override fun gossip(
        peer: VmRecord,
        message: GossipMessage,
        timeout: Duration,
    ): Either<PeerFailure, GossipMessage> = call(peer, timeout) { it.gossip(message.toMessage()).toGossipMessage() }

    override fun probeIndirectly(
        peer: VmRecord,
        target: VmRecord,
        timeout: Duration,
    ): Either<PeerFailure, Boolean> {
        val probe = IndirectProbe.newBuilder().setName(target.name.value).setAddress(target.address).build()
        return call(peer, timeout) { it.probeIndirectly(probe).answered }
    }

    override fun configuration(
        peer: VmRecord,
        known: Long,
        timeout: Duration,
    ): Either<PeerFailure, PeerConfiguration> {
        val request = ConfigurationRequest.newBuilder().setKnownNumber(known).build()
        return call(peer, timeout) { stub ->
            val reply = stub.withCompression(COMPRESSION).fetchConfiguration(request)
            val configuration =
                reply.configuration.ifEmpty { null }?.let { Json.decodeFromString(FleetConfiguration.serializer(), it) }
            PeerConfiguration(configuration, reply.sessionKeys.ifEmpty { null })
        }
    }

    override fun memberObservation(
        peer: VmRecord,
        database: DatabaseName,
        member: MemberName,
        timeout: Duration,
    ): Either<PeerFailure, MemberObservation> {
        val request = VantageRequest.newBuilder().setDatabase(database.value).setMember(member.value).build()
        return call(peer, timeout) { it.memberObservation(request).toMemberObservation() }
    }

    override fun disconnect(peer: VmName) {
        channels.remove(peer)?.channel?.shutdownNow()
    }

    override fun close() {
        channels.values.forEach { it.channel.shutdownNow() }
        channels.clear()
    }

    private fun <T> call(
        peer: VmRecord,
        timeout: Duration,
        action: (NodeGrpc.NodeBlockingStub) -> T,
    ): Either<PeerFailure, T> {
        val channel = channelTo(peer)
        val stub = NodeGrpc.newBlockingStub(channel)
            .withDeadlineAfter(timeout.inWholeMicroseconds, TimeUnit.MICROSECONDS)
        return try {
            action(stub).right()
        } catch (failure: StatusRuntimeException) {
            if (failure.status.code == Status.Code.DEADLINE_EXCEEDED) channel.enterIdle()
            failure.toPeerFailure(peer.name).left()
        }
    }

    private fun channelTo(peer: VmRecord): ManagedChannel = channels.compute(peer.name) { _, known ->
        if (known != null && known.address == peer.address) return@compute known
        known?.channel?.shutdown()
        PeerChannel(peer.address, openChannel(peer.address))
    }!!.channel

    private fun openChannel(address: String): ManagedChannel = NettyChannelBuilder.forTarget("dns:///$address")
        .usePlaintext()
        .disableRetry()
        .maxInboundMessageSize(MAXIMUM_MESSAGE_BYTES)
        .build()

    private fun StatusRuntimeException.toPeerFailure(peer: VmName): PeerFailure {
        val detail = "node $peer: ${status.code} ${status.description.orEmpty()}".trim()
        return if (isRefusedConnection()) PeerFailure.NotSent(peer, detail) else PeerFailure.NoAnswer(peer, detail)
    }

    private fun StatusRuntimeException.isRefusedConnection(): Boolean =
        status.code == Status.Code.UNAVAILABLE &&
            generateSequence(status.cause) { it.cause }.any { it is ConnectException }

    private class PeerChannel(val address: String, val channel: ManagedChannel)

    public companion object {
        /** Largest message between nodes, in bytes. */
        public const val MAXIMUM_MESSAGE_BYTES: Int = 16 * 1024 * 1024

        /** Time that an answer at the deadline may take to arrive. */
        public val ANSWER_GRACE: Duration = 250.milliseconds

        private const val COMPRESSION = "gzip"
    }
}
