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

/** Receives the answer to a control call. */
internal typealias AnswerControl = (Either<MemberFailure, MemberReport>) -> Unit

/**
 * What arrives at one member from the network, without a network: connections, control calls and fault switches.
 * A call that a fault swallows is never answered.
 */
internal class MemberEndpoint(
    val member: GroupMember,
    private val runtime: GroupRuntime,
    private val latencyOf: (VmName) -> Duration,
    private val replicate: (GroupMember) -> Unit,
) {
    private val sessions = LinkedHashSet<MemberSession>()

    /** Numbers a new transport. */
    fun openTransport(): Long = member.faults.nextTransport()

    /** Opens a connection for [vm]; [opened] gets the session or the failure, on a worker thread. */
    fun connect(
        vm: VmName,
        transport: Long,
        onLost: (String) -> Unit,
        opened: (Either<MemberFailure, MemberSession>) -> Unit,
    ) = reach(vm, transport, refused = { opened(refusal(Step.CONNECT).left()) }) {
        runtime.pause(runtime.timing.connect)
        val outcome = open(vm, transport, onLost)
        runtime.after(latencyOf(vm)) { opened(outcome) }
    }

    fun report(vm: VmName, transport: Long, answer: AnswerControl) =
        control(vm, transport, Step.PROBE, answer) { member.report().right() }

    fun acceptTerm(vm: VmName, transport: Long, proposal: TermProposal, answer: AnswerControl) =
        control(vm, transport, Step.PROMOTE, answer) { endingSupersededWork { member.acceptTerm(proposal) } }

    fun promote(vm: VmName, transport: Long, proposal: TermProposal, answer: AnswerControl) =
        control(vm, transport, Step.PROMOTE, answer) { member.promote(proposal) }

    fun follow(vm: VmName, transport: Long, term: Term, primary: MemberName, answer: AnswerControl) =
        control(vm, transport, Step.PROMOTE, answer) {
            endingSupersededWork { member.follow(term, primary) }
                .onRight { replicate(member) }
                .map { member.report() }
        }

    fun set(fault: MemberFault) {
        member.faults.set(fault)
        if (fault == MemberFault.Stop) member.withoutCommits { current().forEach { it.lose("the member has stopped") } }
    }

    /** Releases a connection that its client has closed. */
    fun close(session: MemberSession) {
        synchronized(sessions) { sessions -= session }
        session.close()
    }

    private fun open(vm: VmName, transport: Long, onLost: (String) -> Unit): Either<MemberFailure, MemberSession> =
        synchronized(sessions) {
            if (!member.faults.running) return refusal(Step.CONNECT).left()
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

    private fun control(
        vm: VmName,
        transport: Long,
        step: Step,
        answer: AnswerControl,
        call: () -> Either<MemberFailure, MemberReport>,
    ) = reach(vm, transport, refused = { answer(refusal(step).left()) }) {
        val outcome = call()
        runtime.after(latencyOf(vm)) { if (member.faults.running && !swallows(vm, transport)) answer(outcome) }
    }

    private fun reach(vm: VmName, transport: Long, refused: () -> Unit, arrived: () -> Unit) {
        when {
            swallows(vm, transport) -> return
            !member.faults.running -> refused()
            else -> runtime.later(latencyOf(vm), arrived)
        }
    }

    /** Ends the open transactions of lower terms if [call] makes the member accept a higher one. */
    private fun endingSupersededWork(
        call: () -> Either<MemberFailure, MemberReport>,
    ): Either<MemberFailure, MemberReport> {
        val before = member.report().acceptedTerm
        return call().onRight { if (it.acceptedTerm > before) current().forEach { session -> session.abort() } }
    }

    private fun current(): List<MemberSession> = synchronized(sessions) { sessions.toList() }

    private fun swallows(vm: VmName, transport: Long) =
        member.faults.isolates(vm) || member.faults.silences(transport)

    private fun refusal(step: Step) = MemberFailure.Unreachable(member.name, step, "the member is not running")
}
