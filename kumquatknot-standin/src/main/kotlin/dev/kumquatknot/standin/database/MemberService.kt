package dev.kumquatknot.standin.database

import arrow.core.Either
import dev.kumquatknot.core.history.Term
import dev.kumquatknot.core.identity.MemberName
import dev.kumquatknot.core.identity.VmName
import dev.kumquatknot.core.member.MemberFailure
import dev.kumquatknot.core.member.MemberReport
import dev.kumquatknot.core.member.TermProposal
import dev.kumquatknot.protocol.standin.ClientMessage
import dev.kumquatknot.protocol.standin.ControlReply
import dev.kumquatknot.protocol.standin.DatabaseMemberGrpc
import dev.kumquatknot.protocol.standin.FaultReply
import dev.kumquatknot.protocol.standin.FaultRequest
import dev.kumquatknot.protocol.standin.FollowRequest
import dev.kumquatknot.protocol.standin.MemberMessage
import dev.kumquatknot.protocol.standin.OpenedMessage
import dev.kumquatknot.protocol.standin.ProposalRequest
import dev.kumquatknot.protocol.standin.ReportRequest
import dev.kumquatknot.proxy.adapter.standin.MemberMessages
import io.grpc.Status
import io.grpc.stub.ServerCallStreamObserver
import io.grpc.stub.StreamObserver
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/** The gRPC service of one member. A call that a fault drops stays open without an answer. */
internal class MemberService(private val endpoint: MemberEndpoint) : DatabaseMemberGrpc.DatabaseMemberImplBase() {
    override fun connect(responses: StreamObserver<MemberMessage>): StreamObserver<ClientMessage> {
        responses as ServerCallStreamObserver<MemberMessage>
        return ConnectionStream(endpoint, transportNumber.get(), responses)
    }

    override fun report(request: ReportRequest, responses: StreamObserver<ControlReply>) =
        endpoint.report(VmName(request.vm), transportNumber.get()) { responses.answer(it) }

    override fun acceptTerm(request: ProposalRequest, responses: StreamObserver<ControlReply>) =
        endpoint.acceptTerm(VmName(request.vm), transportNumber.get(), request.proposal()) { responses.answer(it) }

    override fun promote(request: ProposalRequest, responses: StreamObserver<ControlReply>) =
        endpoint.promote(VmName(request.vm), transportNumber.get(), request.proposal()) { responses.answer(it) }

    override fun follow(request: FollowRequest, responses: StreamObserver<ControlReply>) {
        val primary = MemberName(request.primary)
        endpoint.follow(VmName(request.vm), transportNumber.get(), Term(request.term), primary) { responses.answer(it) }
    }

    override fun setFault(request: FaultRequest, responses: StreamObserver<FaultReply>) {
        responses.onNext(FaultReply.newBuilder().setError(set(request.fault).orEmpty()).build())
        responses.onCompleted()
    }

    private fun set(fault: String): String? = try {
        endpoint.set(Json.decodeFromString<MemberFault>(fault))
        null
    } catch (failure: SerializationException) {
        failure.message
    }

    private fun ProposalRequest.proposal() = TermProposal(Term(term), VmName(proposer))

    private fun StreamObserver<ControlReply>.answer(outcome: Either<MemberFailure, MemberReport>) {
        onNext(MemberMessages.control(outcome))
        onCompleted()
    }
}

/** One database connection over a bidirectional gRPC stream. */
private class ConnectionStream(
    private val endpoint: MemberEndpoint,
    private val transport: Long,
    private val responses: ServerCallStreamObserver<MemberMessage>,
) : StreamObserver<ClientMessage> {
    private var session: MemberSession? = null
    private var ended = false

    init {
        responses.setOnCancelHandler { end() }
    }

    override fun onNext(message: ClientMessage) {
        if (message.hasOpen()) {
            endpoint.connect(VmName(message.open.vm), transport, ::failStream, ::opened)
            return
        }
        val batch = MemberMessages.batch(message.batch)
        val opened = synchronized(this) { session } ?: return failStream("a batch came before the connection was open")
        opened.submit(batch) { outcome ->
            send(MemberMessage.newBuilder().setAnswer(MemberMessages.answer(batch.request, outcome)).build())
        }
    }

    override fun onError(failure: Throwable) = end()

    override fun onCompleted() = end()

    private fun opened(outcome: Either<MemberFailure, MemberSession>) {
        val message = OpenedMessage.newBuilder()
        outcome.onLeft { message.setFailure(MemberMessages.failure(it)) }
        outcome.onRight { if (!attachUnlessEnded(it)) return endpoint.close(it) }
        send(MemberMessage.newBuilder().setOpened(message).build())
    }

    @Synchronized
    private fun attachUnlessEnded(opened: MemberSession): Boolean {
        if (!ended) session = opened
        return !ended
    }

    private fun end() {
        val last = synchronized(this) {
            ended = true
            session
        }
        last?.let(endpoint::close)
    }

    @Synchronized
    private fun send(message: MemberMessage) {
        if (!responses.isCancelled && !ended) responses.onNext(message)
    }

    @Synchronized
    private fun failStream(detail: String) {
        if (ended || responses.isCancelled) return
        ended = true
        responses.onError(Status.UNAVAILABLE.withDescription(detail).asRuntimeException())
    }
}
