package dev.kumquatknot.standin.database

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import dev.kumquatknot.core.history.Term
import dev.kumquatknot.core.identity.MemberName
import dev.kumquatknot.core.identity.VmName
import dev.kumquatknot.core.member.MemberFailure
import dev.kumquatknot.core.member.MemberReport
import dev.kumquatknot.core.member.TermProposal
import dev.kumquatknot.core.outcome.Step
import kotlin.time.Duration

/** Receives the result of a control call: the report of the member or its failure. */
internal typealias ControlCallback = (Either<MemberFailure, MemberReport>) -> Unit

/**
 * Receives the connections, control calls and fault switches of one member, independent of the transport: over gRPC or
 * within the process. A call that a fault drops is never answered.
 */
internal class MemberEndpoint(
    val member: GroupMember,
    private val runtime: GroupRuntime,
    private val latencyOf: (VmName) -> Duration,
    private val replicate: (GroupMember) -> Unit,
) {
    private val sessions = LinkedHashSet<MemberSession>()

    /** Returns the number of a new transport (one network connection). */
    fun openTransport(): Long = member.faults.nextTransport()

    /** Opens a connection for [vm]; [onOpened] receives the session or the failure, on a worker thread. */
    fun connect(
        vm: VmName,
        transport: Long,
        onLost: (String) -> Unit,
        onOpened: (Either<MemberFailure, MemberSession>) -> Unit,
    ) = deliver(vm, transport, onRefused = { onOpened(notRunning(Step.CONNECT).left()) }) {
        runtime.pause(runtime.timing.connect)
        val outcome = open(vm, transport, onLost)
        runtime.runAfter(latencyOf(vm)) { onOpened(outcome) }
    }

    fun report(vm: VmName, transport: Long, answer: ControlCallback) =
        controlCall(vm, transport, Step.PROBE, answer) { member.report().right() }

    fun acceptTerm(vm: VmName, transport: Long, proposal: TermProposal, answer: ControlCallback) =
        controlCall(vm, transport, Step.PROMOTE, answer) {
            abortingSupersededTransactions { member.acceptTerm(proposal) }
        }

    fun promote(vm: VmName, transport: Long, proposal: TermProposal, answer: ControlCallback) =
        controlCall(vm, transport, Step.PROMOTE, answer) { member.promote(proposal) }

    fun follow(vm: VmName, transport: Long, term: Term, primary: MemberName, answer: ControlCallback) =
        controlCall(vm, transport, Step.PROMOTE, answer) {
            abortingSupersededTransactions { member.follow(term, primary) }
                .onRight { replicate(member) }
                .map { member.report() }
        }

    fun set(fault: MemberFault) {
        member.faults.set(fault)
        if (fault == MemberFault.Stop) member.withoutCommits { allOpen().forEach { it.fail("the member has stopped") } }
    }

    /** Releases a connection that its client has closed. */
    fun close(session: MemberSession) {
        synchronized(sessions) { sessions -= session }
        session.close()
    }

    private fun open(vm: VmName, transport: Long, onLost: (String) -> Unit): Either<MemberFailure, MemberSession> =
        synchronized(sessions) {
            if (!member.faults.running) return notRunning(Step.CONNECT).left()
            if (sessions.size >= member.configuration.connections) {
                val detail = "all ${member.configuration.connections} connections are in use"
                return MemberFailure.TooManyConnections(member.name, detail).left()
            }
            lateinit var session: MemberSession
            session = MemberSession(member, vm, transport, latencyOf(vm), runtime) { detail ->
                synchronized(sessions) { sessions -= session }
                onLost(detail)
            }
            sessions += session
            session.right()
        }

    private fun controlCall(
        vm: VmName,
        transport: Long,
        step: Step,
        answer: ControlCallback,
        call: () -> Either<MemberFailure, MemberReport>,
    ) = deliver(vm, transport, onRefused = { answer(notRunning(step).left()) }) {
        val outcome = call()
        runtime.runAfter(latencyOf(vm)) { if (member.faults.running && !drops(vm, transport)) answer(outcome) }
    }

    private fun deliver(vm: VmName, transport: Long, onRefused: () -> Unit, onArrival: () -> Unit) {
        when {
            drops(vm, transport) -> return
            !member.faults.running -> onRefused()
            else -> runtime.executeAfter(latencyOf(vm), onArrival)
        }
    }

    /** Aborts the open transactions of lower terms if [call] makes the member accept a higher term. */
    private fun abortingSupersededTransactions(
        call: () -> Either<MemberFailure, MemberReport>,
    ): Either<MemberFailure, MemberReport> {
        val before = member.report().acceptedTerm
        return call().onRight { if (it.acceptedTerm > before) allOpen().forEach { session -> session.abort() } }
    }

    private fun allOpen(): List<MemberSession> = synchronized(sessions) { sessions.toList() }

    private fun drops(vm: VmName, transport: Long) =
        member.faults.isolates(vm) || member.faults.silences(transport)

    private fun notRunning(step: Step) = MemberFailure.Unreachable(member.name, step, "the member is not running")
}
