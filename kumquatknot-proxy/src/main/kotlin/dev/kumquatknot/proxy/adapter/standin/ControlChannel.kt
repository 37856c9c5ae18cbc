package dev.kumquatknot.proxy.adapter.standin

import arrow.core.Either
import arrow.core.left
import dev.kumquatknot.core.identity.MemberName
import dev.kumquatknot.core.member.MemberFailure
import dev.kumquatknot.core.member.MemberReport
import dev.kumquatknot.core.outcome.Step
import dev.kumquatknot.protocol.standin.ControlReply
import dev.kumquatknot.protocol.standin.DatabaseMemberGrpc
import dev.kumquatknot.protocol.standin.DatabaseMemberGrpc.DatabaseMemberBlockingStub
import io.grpc.ManagedChannel
import io.grpc.Status
import io.grpc.StatusRuntimeException
import java.net.ConnectException
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicReference
import kotlin.time.Duration

/** Control calls to one member over a gRPC channel that is replaced after a call without an answer. */
internal class ControlChannel(private val member: MemberName, private val open: () -> ManagedChannel) : AutoCloseable {
    private val current = AtomicReference<ManagedChannel?>()

    fun call(
        step: Step,
        timeout: Duration,
        call: (DatabaseMemberBlockingStub) -> ControlReply,
    ): Either<MemberFailure, MemberReport> {
        val channel = currentOrNew()
        val stub = DatabaseMemberGrpc.newBlockingStub(channel)
            .withDeadlineAfter(timeout.inWholeNanoseconds, TimeUnit.NANOSECONDS)
        return try {
            MemberMessages.control(call(stub), member, step)
        } catch (failure: StatusRuntimeException) {
            if (current.compareAndSet(channel, null)) channel.shutdownNow()
            failure.status.toFailure(member, step).left()
        }
    }

    override fun close() {
        current.getAndSet(null)?.shutdownNow()
    }

    private fun currentOrNew(): ManagedChannel {
        current.get()?.let { return it }
        val opened = open()
        if (current.compareAndSet(null, opened)) return opened
        opened.shutdownNow()
        return currentOrNew()
    }
}

/** Returns [MemberFailure.Unreachable] for a call that could not connect; after any other failure it may have run. */
internal fun Status.toFailure(member: MemberName, step: Step): MemberFailure {
    val isConnectionRefused = code == Status.Code.UNAVAILABLE && cause is ConnectException
    return if (isConnectionRefused) {
        MemberFailure.Unreachable(member, step, "connection refused")
    } else {
        MemberFailure.NoAnswer(member, step, listOfNotNull(code.name, description).joinToString(": "))
    }
}
