package dev.kumquatknot.standin.database

import dev.kumquatknot.protocol.standin.DatabaseMemberGrpc
import dev.kumquatknot.protocol.standin.FaultRequest
import io.grpc.netty.shaded.io.grpc.netty.NettyChannelBuilder
import kotlinx.serialization.json.Json
import java.util.concurrent.TimeUnit

/** Sets fault switches of a stand-in member that runs in another process, at [address] (host and port). */
public class MemberFaultClient(address: String) : AutoCloseable {
    private val channel = NettyChannelBuilder
        .forAddress(address.substringBeforeLast(':'), address.substringAfterLast(':').toInt())
        .usePlaintext()
        .build()

    /** Sets [fault]; throws [io.grpc.StatusRuntimeException] if the member's process can't be reached. */
    public fun set(fault: MemberFault) {
        val request = FaultRequest.newBuilder().setFault(Json.encodeToString<MemberFault>(fault)).build()
        val reply = DatabaseMemberGrpc.newBlockingStub(channel)
            .withDeadlineAfter(DEADLINE_SECONDS, TimeUnit.SECONDS)
            .setFault(request)
        check(reply.error.isEmpty()) { reply.error }
    }

    override fun close() {
        channel.shutdownNow()
    }

    private companion object {
        const val DEADLINE_SECONDS = 5L
    }
}
