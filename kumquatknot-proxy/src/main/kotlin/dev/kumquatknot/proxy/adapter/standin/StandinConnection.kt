package dev.kumquatknot.proxy.adapter.standin

import arrow.core.Either
import arrow.core.left
import dev.kumquatknot.core.identity.MemberName
import dev.kumquatknot.core.identity.RequestId
import dev.kumquatknot.core.identity.VmName
import dev.kumquatknot.core.member.BatchEnd
import dev.kumquatknot.core.member.BatchReply
import dev.kumquatknot.core.member.MemberConnection
import dev.kumquatknot.core.member.MemberFailure
import dev.kumquatknot.core.member.StatementBatch
import dev.kumquatknot.core.outcome.Step
import dev.kumquatknot.protocol.standin.ClientMessage
import dev.kumquatknot.protocol.standin.MemberMessage
import dev.kumquatknot.protocol.standin.OpenMessage
import io.grpc.ManagedChannel
import io.grpc.Status
import io.grpc.stub.StreamObserver
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import java.util.concurrent.TimeoutException
import kotlin.time.Duration

/**
 * One database connection, which is one gRPC stream on a separate channel. An answer is accepted only for the request
 * whose ID it carries. After a request without an answer, the connection is closed permanently.
 */
internal class StandinConnection(
    private val member: MemberName,
    private val channel: ManagedChannel,
) : MemberConnection, StreamObserver<MemberMessage> {
    private class PendingRequest(val request: RequestId, val step: Step) {
        val answer = CompletableFuture<Either<MemberFailure, BatchReply>>()
    }

    private lateinit var requests: StreamObserver<ClientMessage>
    private val openResult = CompletableFuture<MemberFailure?>()
    private var pending: PendingRequest? = null
    private var endStatus: Status? = null

    fun setRequestStream(requests: StreamObserver<ClientMessage>) {
        this.requests = requests
    }

    /** Opens the connection for [vm] and returns the failure, or null on success. */
    fun open(vm: VmName, timeout: Duration): MemberFailure? {
        requests.onNext(ClientMessage.newBuilder().setOpen(OpenMessage.newBuilder().setVm(vm.value)).build())
        return try {
            openResult.get(timeout.inWholeNanoseconds, TimeUnit.NANOSECONDS)
        } catch (_: TimeoutException) {
            MemberFailure.Unreachable(member, Step.CONNECT, "no connection within $timeout")
        }
    }

    override fun run(batch: StatementBatch, timeout: Duration): Either<MemberFailure, BatchReply> {
        val step = if (batch.end == BatchEnd.COMMIT) Step.COMMIT else Step.EXECUTE
        val message = ClientMessage.newBuilder().setBatch(MemberMessages.batch(batch)).build()
        val sentRequest = synchronized(this) {
            if (endStatus != null) return MemberFailure.Unreachable(member, step, "the connection is closed").left()
            PendingRequest(batch.request, step).also {
                pending = it
                requests.onNext(message)
            }
        }
        val outcome = await(sentRequest, timeout)
        synchronized(this) { pending = null }
        if (outcome is Either.Left && outcome.value is MemberFailure.NoAnswer) close()
        return outcome
    }

    override fun close(): Unit = end(Status.CANCELLED)

    override fun onNext(message: MemberMessage) {
        if (message.hasOpened()) {
            val failure = message.opened.takeIf { it.hasFailure() }?.failure
            openResult.complete(failure?.let { MemberMessages.failure(it, member, Step.CONNECT) })
            return
        }
        val answered = synchronized(this) { pending?.takeIf { it.request.value == message.answer.request } }
        answered?.let { it.answer.complete(MemberMessages.answer(message.answer, member, it.step)) }
    }

    override fun onError(failure: Throwable) = end(Status.fromThrowable(failure))

    override fun onCompleted() = end(Status.UNAVAILABLE.withDescription("the member closed the connection"))

    private fun await(sentRequest: PendingRequest, timeout: Duration): Either<MemberFailure, BatchReply> = try {
        sentRequest.answer.get(timeout.inWholeNanoseconds, TimeUnit.NANOSECONDS)
    } catch (_: TimeoutException) {
        MemberFailure.NoAnswer(member, sentRequest.step, "no answer within $timeout").left()
    }

    private fun end(status: Status) {
        val unanswered = synchronized(this) {
            if (endStatus == null) endStatus = status
            pending
        }
        channel.shutdownNow()
        openResult.complete(status.toFailure(member, Step.CONNECT))
        unanswered?.let { it.answer.complete(noAnswer(it.step, status)) }
    }

    private fun noAnswer(step: Step, status: Status) =
        MemberFailure.NoAnswer(member, step, "connection lost: ${status.description ?: status.code}").left()
}
