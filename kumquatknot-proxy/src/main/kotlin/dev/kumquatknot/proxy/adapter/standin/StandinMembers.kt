package dev.kumquatknot.proxy.adapter.standin

import dev.kumquatknot.core.configuration.MemberConfiguration
import dev.kumquatknot.core.identity.VmName
import dev.kumquatknot.core.member.MemberPort
import dev.kumquatknot.core.member.TermProposal
import dev.kumquatknot.core.outcome.Step
import dev.kumquatknot.protocol.standin.FollowRequest
import dev.kumquatknot.protocol.standin.ProposalRequest
import dev.kumquatknot.protocol.standin.ReportRequest
import io.grpc.ManagedChannel
import io.grpc.netty.shaded.io.grpc.netty.NettyChannelBuilder
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.ExecutorService
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit

/**
 * Creates member ports to stand-in database members over gRPC, on behalf of [vm].
 *
 * Each database connection has a separate channel, so that a connection that stops answering affects no other. Control
 * calls share one channel per member, which is replaced as soon as a call gets no answer.
 */
public class StandinMembers(private val vm: VmName) : AutoCloseable {
    private val threads: ExecutorService = Executors.newCachedThreadPool { task ->
        Thread(task, "member-adapter").apply { isDaemon = true }
    }
    private val controlChannels = CopyOnWriteArrayList<ControlChannel>()

    /** Returns the port to [member]. The first call opens a connection. */
    public fun port(member: MemberConfiguration): MemberPort {
        val connector = StandinConnector(member.name, vm) { openChannel(member.address) }
        val control = ControlChannel(member.name) { openChannel(member.address) }.also { controlChannels += it }
        return MemberPort(
            member = member.name,
            connect = connector::connect,
            report = { timeout ->
                control.call(Step.PROBE, timeout) { it.report(ReportRequest.newBuilder().setVm(vm.value).build()) }
            },
            acceptTerm = { proposal, timeout ->
                control.call(Step.PROMOTE, timeout) { it.acceptTerm(proposal.toMessage()) }
            },
            promote = { proposal, timeout ->
                control.call(Step.PROMOTE, timeout) { it.promote(proposal.toMessage()) }
            },
            follow = { term, primary, timeout ->
                val request = FollowRequest.newBuilder().setVm(vm.value).setTerm(term.value).setPrimary(primary.value)
                control.call(Step.PROMOTE, timeout) { it.follow(request.build()) }
            },
        )
    }

    /** Closes the control channels. Database connections are closed by their users. */
    override fun close() {
        controlChannels.forEach { it.close() }
    }

    private fun openChannel(address: String): ManagedChannel = NettyChannelBuilder
        .forAddress(address.substringBeforeLast(':'), address.substringAfterLast(':').toInt())
        .usePlaintext()
        .executor(threads)
        .keepAliveTime(KEEP_ALIVE_SECONDS, TimeUnit.SECONDS)
        .keepAliveTimeout(KEEP_ALIVE_TIMEOUT_SECONDS, TimeUnit.SECONDS)
        .maxInboundMessageSize(MAXIMUM_MESSAGE_BYTES)
        .build()

    private fun TermProposal.toMessage(): ProposalRequest = ProposalRequest.newBuilder()
        .setVm(vm.value)
        .setTerm(term.value)
        .setProposer(proposer.value)
        .build()

    private companion object {
        const val KEEP_ALIVE_SECONDS = 10L
        const val KEEP_ALIVE_TIMEOUT_SECONDS = 3L
        const val MAXIMUM_MESSAGE_BYTES = 64 * 1024 * 1024
    }
}
