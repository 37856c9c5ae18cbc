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

/** Control calls to one member over a network connection that is replaced when it gives no answer. */
internal class ControlChannel(private val member: MemberName, private val open: () -> ManagedChannel) : AutoCloseable {
    private val current = AtomicReference<ManagedChannel?>()

    fun call(
        step: Step,
        timeout: Duration,
        call: (DatabaseMemberBlockingStub) -> ControlReply,
    ): Either<MemberFailure, MemberReport> {
        val channel = channel()
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

    private fun channel(): ManagedChannel {
        current.get()?.let { return it }
        val fresh = open()
        if (current.compareAndSet(null, fresh)) return fresh
        fresh.shutdownNow()
        return channel()
    }
}

/** A call that could not connect was never sent; for any other failure that is not proved. */
internal fun Status.toFailure(member: MemberName, step: Step): MemberFailure {
    val refused = code == Status.Code.UNAVAILABLE && cause is ConnectException
    return if (refused) {
        MemberFailure.Unreachable(member, step, "connection refused")
    } else {
        MemberFailure.NoAnswer(member, step, listOfNotNull(code.name, description).joinToString(": "))
    }
}
