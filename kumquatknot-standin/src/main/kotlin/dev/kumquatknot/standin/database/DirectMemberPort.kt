package dev.kumquatknot.standin.database

import arrow.core.Either
import arrow.core.left
import dev.kumquatknot.core.identity.VmName
import dev.kumquatknot.core.member.BatchEnd
import dev.kumquatknot.core.member.BatchReply
import dev.kumquatknot.core.member.MemberConnection
import dev.kumquatknot.core.member.MemberFailure
import dev.kumquatknot.core.member.MemberPort
import dev.kumquatknot.core.member.MemberReport
import dev.kumquatknot.core.member.StatementBatch
import dev.kumquatknot.core.outcome.Step
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import java.util.concurrent.TimeoutException
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration

/** Calls a [MemberEndpoint] within the process, with the same timeouts as over a network. */
internal class DirectMemberPort(private val endpoint: MemberEndpoint, private val vm: VmName) {
    private val name = endpoint.member.name
    private val controlTransport = AtomicLong(endpoint.openTransport())

    fun port(): MemberPort = MemberPort(
        member = name,
        connect = ::connect,
        report = { timeout ->
            controlCall(Step.PROBE, timeout) { transport, answer ->
                endpoint.report(vm, transport, answer)
            }
        },
        acceptTerm = { proposal, timeout ->
            controlCall(Step.PROMOTE, timeout) { transport, answer ->
                endpoint.acceptTerm(vm, transport, proposal, answer)
            }
        },
        promote = { proposal, timeout ->
            controlCall(Step.PROMOTE, timeout) { transport, answer ->
                endpoint.promote(vm, transport, proposal, answer)
            }
        },
        follow = { term, primary, timeout ->
            controlCall(Step.PROMOTE, timeout) { transport, answer ->
                endpoint.follow(vm, transport, term, primary, answer)
            }
        },
    )

    private fun connect(timeout: Duration): Either<MemberFailure, MemberConnection> {
        val lost = CompletableFuture<String>()
        val opened = CompletableFuture<Either<MemberFailure, MemberSession>>()
        endpoint.connect(vm, endpoint.openTransport(), { lost.complete(it) }) { opened.complete(it) }
        val session = opened.awaitOrNull(timeout)
        if (session == null) {
            opened.thenAccept { late -> late.onRight(endpoint::close) }
            return MemberFailure.Unreachable(name, Step.CONNECT, "no connection within $timeout").left()
        }
        return session.map { DirectConnection(endpoint, it, lost) }
    }

    private fun controlCall(
        step: Step,
        timeout: Duration,
        call: (Long, ControlCallback) -> Unit,
    ): Either<MemberFailure, MemberReport> {
        val transport = controlTransport.get()
        val answer = CompletableFuture<Either<MemberFailure, MemberReport>>()
        call(transport) { answer.complete(it) }
        answer.awaitOrNull(timeout)?.let { return it }
        controlTransport.compareAndSet(transport, endpoint.openTransport())
        return MemberFailure.NoAnswer(name, step, "no answer within $timeout").left()
    }
}

private class DirectConnection(
    private val endpoint: MemberEndpoint,
    private val session: MemberSession,
    private val lost: CompletableFuture<String>,
) : MemberConnection {
    private val member = endpoint.member.name

    @Volatile
    private var usable = true

    override fun run(batch: StatementBatch, timeout: Duration): Either<MemberFailure, BatchReply> {
        val step = if (batch.end == BatchEnd.COMMIT) Step.COMMIT else Step.EXECUTE
        if (!usable || lost.isDone) return MemberFailure.Unreachable(member, step, "the connection is closed").left()
        val answer = CompletableFuture<Either<MemberFailure, BatchReply>>()
        lost.thenAccept { answer.complete(MemberFailure.NoAnswer(member, step, it).left()) }
        session.submit(batch) { answer.complete(it) }
        val outcome = answer.awaitOrNull(timeout)
            ?: MemberFailure.NoAnswer(member, step, "no answer within $timeout").left()
        if (outcome is Either.Left && outcome.value is MemberFailure.NoAnswer) close()
        return outcome
    }

    override fun close() {
        usable = false
        lost.complete("the connection was closed")
        endpoint.close(session)
    }
}

private fun <T> CompletableFuture<T>.awaitOrNull(timeout: Duration): T? = try {
    get(timeout.inWholeNanoseconds, TimeUnit.NANOSECONDS)
} catch (_: TimeoutException) {
    null
} catch (_: InterruptedException) {
    Thread.currentThread().interrupt()
    null
}
