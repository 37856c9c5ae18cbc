package dev.kumquatknot.proxy.peer

import dev.kumquatknot.core.configuration.FleetConfiguration
import dev.kumquatknot.core.identity.DatabaseName
import dev.kumquatknot.core.identity.MemberName
import dev.kumquatknot.core.identity.VmName
import dev.kumquatknot.protocol.node.ConfigurationReply
import dev.kumquatknot.protocol.node.ConfigurationRequest
import dev.kumquatknot.protocol.node.IndirectProbe
import dev.kumquatknot.protocol.node.IndirectProbeReply
import dev.kumquatknot.protocol.node.NodeGrpc
import dev.kumquatknot.protocol.node.VantageReply
import dev.kumquatknot.protocol.node.VantageRequest
import dev.kumquatknot.protocol.node.WorkReply
import dev.kumquatknot.protocol.node.WorkRequest
import io.grpc.Context
import io.grpc.Metadata
import io.grpc.Server
import io.grpc.ServerCall
import io.grpc.ServerCallExecutorSupplier
import io.grpc.netty.shaded.io.grpc.netty.NettyServerBuilder
import io.grpc.stub.ServerCallStreamObserver
import io.grpc.stub.StreamObserver
import kotlinx.serialization.json.Json
import java.net.InetSocketAddress
import java.util.concurrent.Executor
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import dev.kumquatknot.protocol.node.GossipMessage as GossipMessageMessage

/**
 * gRPC server for the calls of other nodes. Relayed work and control calls run on separate executors, so that work
 * which waits for a slot never delays a probe.
 */
public class GrpcNodeServer(
    address: InetSocketAddress,
    self: VmName,
    service: PeerService,
    workExecutor: Executor,
    controlExecutor: Executor,
) {
    private val server: Server = NettyServerBuilder.forAddress(address)
        .callExecutor(CallExecutors(workExecutor, controlExecutor))
        .maxInboundMessageSize(GrpcPeers.MAXIMUM_MESSAGE_BYTES)
        .addService(NodeService(self, service))
        .build()

    /** Port on which the started server listens. */
    public val port: Int get() = server.port

    /** Binds the address and starts serving calls. */
    public fun start() {
        server.start()
    }

    /** Refuses new calls, waits at most [grace] for the calls in flight, and cancels the remaining ones. */
    public fun stop(grace: Duration) {
        server.shutdown()
        if (!server.awaitTermination(grace.inWholeMilliseconds, TimeUnit.MILLISECONDS)) server.shutdownNow()
    }

    private class CallExecutors(private val work: Executor, private val control: Executor) :
        ServerCallExecutorSupplier {
        override fun <Q, R> getExecutor(call: ServerCall<Q, R>, metadata: Metadata): Executor =
            if (call.methodDescriptor.fullMethodName == NodeGrpc.getExecuteMethod().fullMethodName) work else control
    }

    private class NodeService(private val self: VmName, private val service: PeerService) : NodeGrpc.NodeImplBase() {
        override fun execute(request: WorkRequest, observer: StreamObserver<WorkReply>) =
            observer.respond(inRootContext { service.execute(request.toRelayRequest(self)).toMessage() })

        override fun gossip(request: GossipMessageMessage, observer: StreamObserver<GossipMessageMessage>) =
            observer.respond(service.gossip(request.toGossipMessage()).toMessage())

        override fun probeIndirectly(request: IndirectProbe, observer: StreamObserver<IndirectProbeReply>) {
            val answered = service.probeIndirectly(VmName(request.name), request.address)
            observer.respond(IndirectProbeReply.newBuilder().setAnswered(answered).build())
        }

        override fun fetchConfiguration(request: ConfigurationRequest, observer: StreamObserver<ConfigurationReply>) {
            (observer as? ServerCallStreamObserver)?.setCompression("gzip")
            val peerConfiguration = service.configuration(request.knownNumber)
            val json = peerConfiguration.configuration?.let { Json.encodeToString(FleetConfiguration.serializer(), it) }
            val reply = ConfigurationReply.newBuilder()
                .setConfiguration(json.orEmpty())
                .setSessionKeys(peerConfiguration.sessionKeys.orEmpty())
            observer.respond(reply.build())
        }

        override fun vantage(request: VantageRequest, observer: StreamObserver<VantageReply>) {
            val observation = service.memberObservation(DatabaseName(request.database), MemberName(request.member))
            observer.respond(observation.toMessage())
        }

        /**
         * Runs [action] outside the gRPC context of the call. A member connection that is opened within that context
         * would be cancelled at the end of the call, although later requests use it.
         */
        private fun <T> inRootContext(action: () -> T): T {
            val previous = Context.ROOT.attach()
            try {
                return action()
            } finally {
                Context.ROOT.detach(previous)
            }
        }

        private fun <T> StreamObserver<T>.respond(message: T) {
            onNext(message)
            onCompleted()
        }
    }
}
