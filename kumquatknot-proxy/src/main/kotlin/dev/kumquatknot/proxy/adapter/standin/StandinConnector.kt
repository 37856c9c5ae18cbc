package dev.kumquatknot.proxy.adapter.standin

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import dev.kumquatknot.core.identity.MemberName
import dev.kumquatknot.core.identity.VmName
import dev.kumquatknot.core.member.MemberConnection
import dev.kumquatknot.core.member.MemberFailure
import dev.kumquatknot.core.outcome.Step
import dev.kumquatknot.protocol.standin.DatabaseMemberGrpc
import io.grpc.ManagedChannel
import kotlin.time.Duration

/** Opens database connections from [vm] to one member. */
internal class StandinConnector(
    private val member: MemberName,
    private val vm: VmName,
    private val open: () -> ManagedChannel,
) {
    fun connect(timeout: Duration): Either<MemberFailure, MemberConnection> {
        val channel = open()
        val connection = StandinConnection(member, channel)
        connection.setRequestStream(DatabaseMemberGrpc.newStub(channel).connect(connection))
        val failure = connection.open(vm, timeout) ?: return connection.right()
        connection.close()
        val connectFailure = failure as? MemberFailure.TooManyConnections
            ?: MemberFailure.Unreachable(member, Step.CONNECT, failure.detail)
        return connectFailure.left()
    }
}
