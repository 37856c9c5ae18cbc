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
 * Serves other nodes by gRPC. Relayed work and control calls run on executors of their own, so that work which waits
 * for a slot never holds up a probe.
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

    /** Port on which the server listens, once started. */
    public val port: Int get() = server.port

    /** Starts to listen. */
    public fun start() {
        server.start()
    }

    /** Refuses new calls, waits at most [grace] for those in flight, and closes. */
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
            observer.answer(outsideCall { service.execute(request.toRelayRequest(self)).toMessage() })

        override fun gossip(request: GossipMessageMessage, observer: StreamObserver<GossipMessageMessage>) =
            observer.answer(service.gossip(request.toGossipMessage()).toMessage())

        override fun probeIndirectly(request: IndirectProbe, observer: StreamObserver<IndirectProbeReply>) {
            val answered = service.probeIndirectly(VmName(request.name), request.address)
            observer.answer(IndirectProbeReply.newBuilder().setAnswered(answered).build())
        }

        override fun fetchConfiguration(request: ConfigurationRequest, observer: StreamObserver<ConfigurationReply>) {
            (observer as? ServerCallStreamObserver)?.setCompression("gzip")
            val known = service.configuration(request.knownNumber)
            val text = known.configuration?.let { Json.encodeToString(FleetConfiguration.serializer(), it) }
            val reply = ConfigurationReply.newBuilder()
                .setConfiguration(text.orEmpty())
                .setSessionKeys(known.sessionKeys.orEmpty())
            observer.answer(reply.build())
        }

        override fun vantage(request: VantageRequest, observer: StreamObserver<VantageReply>) {
            val observation = service.memberObservation(DatabaseName(request.database), MemberName(request.member))
            observer.answer(observation.toMessage())
        }

        /**
         * Runs [action] outside the context of the call. A connection to a member that is opened inside would be
         * cancelled with the end of the call, although others use it afterwards.
         */
        private fun <T> outsideCall(action: () -> T): T {
            val previous = Context.ROOT.attach()
            try {
                return action()
            } finally {
                Context.ROOT.detach(previous)
            }
        }

        private fun <T> StreamObserver<T>.answer(message: T) {
            onNext(message)
            onCompleted()
        }
    }
}
