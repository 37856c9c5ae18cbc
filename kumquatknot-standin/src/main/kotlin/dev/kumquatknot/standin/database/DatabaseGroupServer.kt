package dev.kumquatknot.standin.database

import dev.kumquatknot.core.configuration.MemberConfiguration
import dev.kumquatknot.core.identity.MemberName
import io.grpc.Attributes
import io.grpc.Context
import io.grpc.Contexts
import io.grpc.Metadata
import io.grpc.Server
import io.grpc.ServerCall
import io.grpc.ServerCallHandler
import io.grpc.ServerInterceptor
import io.grpc.ServerTransportFilter
import io.grpc.netty.shaded.io.grpc.netty.NettyServerBuilder
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit

/**
 * Serves the members of [group] over gRPC, each on its own port.
 *
 * @param members where each member listens; port 0 binds any free port.
 */
public class DatabaseGroupServer(
    private val group: DatabaseGroup,
    private val members: List<MemberConfiguration>,
) : AutoCloseable {
    private val servers: Map<MemberName, Server> = members.associate { it.name to build(it) }

    /** Starts listening. */
    public fun start(): Unit = servers.values.forEach { it.start() }

    /** The members with the addresses at which they listen. */
    public fun addresses(): List<MemberConfiguration> = members.map {
        it.copy(address = "${it.address.substringBeforeLast(':')}:${servers.getValue(it.name).port}")
    }

    /** Stops listening and ends the open calls; the group stays usable. */
    override fun close() {
        servers.values.forEach { it.shutdownNow() }
        servers.values.forEach { it.awaitTermination(STOP_SECONDS, TimeUnit.SECONDS) }
    }

    private fun build(member: MemberConfiguration): Server {
        val endpoint = group.endpoint(member.name)
        val address = InetSocketAddress(
            member.address.substringBeforeLast(':'),
            member.address.substringAfterLast(':').toInt(),
        )
        return NettyServerBuilder.forAddress(address)
            .addTransportFilter(TransportNumberingFilter(endpoint))
            .intercept(TransportNumberInterceptor)
            .addService(MemberService(endpoint))
            .maxInboundMessageSize(MAX_MESSAGE_BYTES)
            .permitKeepAliveTime(KEEP_ALIVE_SECONDS, TimeUnit.SECONDS)
            .permitKeepAliveWithoutCalls(true)
            .build()
    }

    private companion object {
        const val STOP_SECONDS = 2L
        const val KEEP_ALIVE_SECONDS = 1L
        const val MAX_MESSAGE_BYTES = 64 * 1024 * 1024
    }
}

/** Numbers each network connection, so that [MemberFault.SilenceConnections] can tell the open ones from later ones. */
private class TransportNumberingFilter(private val endpoint: MemberEndpoint) : ServerTransportFilter() {
    override fun transportReady(attributes: Attributes): Attributes =
        attributes.toBuilder().set(transportAttribute, endpoint.openTransport()).build()
}

/** Makes the number of a call's network connection available to its handler. */
private object TransportNumberInterceptor : ServerInterceptor {
    override fun <Q, R> interceptCall(
        call: ServerCall<Q, R>,
        headers: Metadata,
        next: ServerCallHandler<Q, R>,
    ): ServerCall.Listener<Q> {
        val context = Context.current().withValue(transportNumber, call.attributes.get(transportAttribute))
        return Contexts.interceptCall(context, call, headers, next)
    }
}

/** Number of the network connection of the current call. */
internal val transportNumber: Context.Key<Long> = Context.key("transport")

private val transportAttribute: Attributes.Key<Long> = Attributes.Key.create("transport")
