package dev.kumquatknot.proxy.forwarding

import dev.kumquatknot.core.interactive.RejectionCode
import dev.kumquatknot.core.interactive.SessionStatement
import dev.kumquatknot.core.interactive.StatementAccess
import dev.kumquatknot.core.interactive.StatementResult
import dev.kumquatknot.core.interactive.TransactionState
import dev.kumquatknot.proxy.interactive.FakeGroup
import dev.kumquatknot.proxy.interactive.RunRecord
import dev.kumquatknot.proxy.interactive.VirtualLoop
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isIn
import strikt.assertions.isLessThanOrEqualTo
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Random operations of four VMs that forward to each other, while links reset and VMs are cut off for a while. Nothing
 * may run twice, and what callers are told must be true: a completed write has run, one that is refused has not, and
 * only one in doubt may or may not have.
 */
class ForwardingSimulationSpec {
    private class Outcomes {
        var completed = 0
        var inDoubt = 0
        var refused = 0
        var committed = 0
    }

    private class Simulation(seed: Int, private val total: Outcomes) {
        private val random = Random(seed)
        private val loop = VirtualLoop()
        private val group = FakeGroup(loop).apply { appliesAtOnce = true }
        private val fleet = FakeFleet(loop)
        private val vms = (1..4).map { ForwardingVm("vm-$it", loop, group, fleet) }
        private var committed = 0L
        private var possiblyCommitted = 0L
        private val callers = vms.flatMap { vm -> List(CALLERS_PER_VM) { Script(vm, "${vm.name}-$it") } }

        fun play() {
            loop.advance(1.seconds)
            vms.forEach { vm -> vm.homes = vms.map { it.name }.takeWhile { it != vm.name } }
            repeat(STEPS) {
                disturb()
                callers.random(random).next()
                loop.advance(random.nextLong(MAXIMUM_STEP_MILLIS).milliseconds)
            }
            vms.forEach { fleet.thaw(it.name) }
            fleet.unconnectable.clear()
            loop.advance(10.seconds)
            callers.forEach { it.check() }
            expectThat(group.commits).isIn(committed..committed + possiblyCommitted)
            // A transaction that its caller leaves open is rolled back when it has been idle for too long.
            expectThat(vms.sumOf { it.server.openOperations }).isEqualTo(0)
        }

        private fun disturb() {
            val vm = vms.random(random).name
            when (random.nextInt(DISTURBANCE_INTERVAL)) {
                0 -> fleet.cut(vm, (vms.map { it.name } - vm).random(random))
                1 -> {
                    fleet.frozen += vm
                    loop.schedule(random.nextLong(LONGEST_FREEZE_MILLIS).milliseconds) { fleet.thaw(vm) }
                }
                2 -> {
                    fleet.unconnectable += vm
                    loop.schedule(random.nextLong(LONGEST_FREEZE_MILLIS).milliseconds) { fleet.unconnectable -= vm }
                }
            }
        }

        private inner class Script(vm: ForwardingVm, private val name: String) {
            private val caller = vm.Caller("current")
            private val sent = ArrayList<Pair<String, SessionStatement>>()

            /** Sends the next statement, if the one before was answered. */
            fun next() {
                if (caller.replies.size < sent.size) return
                val state = caller.replies.lastOrNull()?.state ?: TransactionState.IDLE
                val write = SessionStatement.Run(StatementAccess.WRITE, "WRITE 1 x")
                val statement = when (state) {
                    TransactionState.IDLE -> listOf(write, write, READ, SessionStatement.Begin(false)).random(random)
                    TransactionState.OPEN ->
                        listOf(write, READ, SessionStatement.Commit("COMMIT"), SessionStatement.Rollback).random(random)
                    TransactionState.FAILED -> SessionStatement.Rollback
                }
                val request = "$name-${sent.size}"
                sent += request to statement
                caller.send(request, statement)
            }

            fun check() {
                expectThat(caller.replies.size).isEqualTo(sent.size)
                var isOpen = false
                val written = ArrayList<RunRecord>()
                sent.zip(caller.replies).forEach { (entry, reply) ->
                    val (request, statement) = entry
                    val code = (reply.result as? StatementResult.Rejected)?.code
                    val runs = group.runs.count { it.request == request }
                    if (statement is SessionStatement.Run && statement.access == StatementAccess.WRITE) {
                        expectThat(runs).describedAs("runs of $request").isLessThanOrEqualTo(1)
                        if (!isOpen) checkSingleWrite(request, code, runs)
                        if (isOpen && code == null) written += group.runs.single { it.request == request }
                    }
                    if (statement is SessionStatement.Begin) written.clear()
                    if (statement is SessionStatement.Commit) checkCommit(request, code, written)
                    isOpen = reply.state != TransactionState.IDLE
                }
            }

            private fun checkSingleWrite(request: String, code: RejectionCode?, runs: Int) {
                count(code, hasWritten = true)
                when (code) {
                    null -> expectThat(runs).describedAs(request).isEqualTo(1)
                    RejectionCode.IN_DOUBT -> Unit
                    else -> expectThat(runs).describedAs("$request, $code").isEqualTo(0)
                }
            }

            /** All that a committed transaction has written was written in one transaction of one member. */
            private fun checkCommit(request: String, code: RejectionCode?, written: List<RunRecord>) {
                count(code, hasWritten = written.isNotEmpty())
                if (code != null) return
                val places = written.map { it.member to it.connection }.distinct()
                expectThat(places.size).describedAs("connections of $request").isLessThanOrEqualTo(1)
                total.committed++
            }

            private fun count(code: RejectionCode?, hasWritten: Boolean) {
                when (code) {
                    null -> total.completed++
                    RejectionCode.IN_DOUBT -> total.inDoubt++
                    else -> total.refused++
                }
                if (hasWritten && code == null) committed++
                if (hasWritten && code == RejectionCode.IN_DOUBT) possiblyCommitted++
            }
        }
    }

    @Test
    fun `nothing runs twice and callers are told the truth in any order of failures`() {
        val total = Outcomes()
        repeat(SEEDS) { seed -> Simulation(seed, total).play() }
        expectThat(total.completed).isGreaterThan(SEEDS * STEPS / 20)
        expectThat(total.committed).isGreaterThan(SEEDS)
        expectThat(total.inDoubt).isGreaterThan(SEEDS)
    }

    private companion object {
        const val SEEDS = 150
        const val STEPS = 200
        const val CALLERS_PER_VM = 4
        const val MAXIMUM_STEP_MILLIS = 15L
        const val DISTURBANCE_INTERVAL = 60
        const val LONGEST_FREEZE_MILLIS = 1_500L
        val READ = SessionStatement.Run(StatementAccess.READ, "READ 1")
    }
}
