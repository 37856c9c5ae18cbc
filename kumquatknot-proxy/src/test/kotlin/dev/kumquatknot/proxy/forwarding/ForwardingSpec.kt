package dev.kumquatknot.proxy.forwarding

import dev.kumquatknot.core.customer.Customer
import dev.kumquatknot.core.customer.CustomerDirectory
import dev.kumquatknot.core.customer.CustomerName
import dev.kumquatknot.core.identity.VmName
import dev.kumquatknot.core.interactive.MemberCommand
import dev.kumquatknot.core.interactive.RejectionCode
import dev.kumquatknot.core.interactive.SessionStatement
import dev.kumquatknot.core.interactive.StatementAccess
import dev.kumquatknot.core.interactive.StatementPlan
import dev.kumquatknot.core.interactive.StatementResult
import dev.kumquatknot.core.interactive.TransactionState
import dev.kumquatknot.proxy.fleet.PeerListener
import dev.kumquatknot.proxy.fleet.PeerMessage
import dev.kumquatknot.proxy.fleet.PongPayload
import dev.kumquatknot.proxy.interactive.FakeGroup
import dev.kumquatknot.proxy.interactive.VirtualLoop
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.containsExactly
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNotEmpty
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Two home VMs and one that forwards to them, each row of the failure table by itself. */
class ForwardingSpec {
    private val loop = VirtualLoop()
    private val group = FakeGroup(loop).apply { appliesAtOnce = true }
    private val fleet = FakeFleet(loop)
    private val first = ForwardingVm("first", loop, group, fleet)
    private val second = ForwardingVm("second", loop, group, fleet)
    private val sender = ForwardingVm("sender", loop, group, fleet)
    private val commands = ArrayList<MemberCommand>()

    init {
        loop.advance(1.seconds)
        sender.homes = listOf(first.name, second.name)
        group.beforeAnswer = { commands += it }
    }

    private fun runsOf(request: String) = group.runs.filter { it.request == request }

    private fun timeOf(task: () -> Unit): Duration {
        val start = loop.elapsed()
        task()
        return loop.elapsed() - start
    }

    /** Makes members lose the answer to [request], so that it stays unanswered until its timeout. */
    private fun delay(vararg requests: String) = group.members.forEach { it.lostAnswers += requests }

    /** Occupies the slots of the VM that runs the operations of [sender] for 300 ms. */
    private fun occupySlots() {
        delay("slow-1", "slow-2")
        listOf("slow-1", "slow-2").forEach { sender.Caller("short").sendWrite(it) }
    }

    private val rollbacks get() = commands.count { it is MemberCommand.Rollback }

    @Nested
    inner class `a statement` {
        @Test
        fun `runs at the first home VM with all that it needs there`() {
            val caller = sender.Caller("current")
            caller.ask { caller.send("s", SessionStatement.SetValue("zone", "x")) }
            val plan = StatementPlan(StatementAccess.WRITE, "shape")
            caller.ask { caller.send("p", SessionStatement.Prepare("plan", plan)) }
            expectThat(caller.ask { caller.send("e", SessionStatement.Execute("plan", "1")) }).isNull()
            val reply = caller.replies.last()
            expectThat(reply.result).isEqualTo(StatementResult.Completed("signature-e"))
            expectThat(reply.rows).containsExactly("row")
            expectThat(first.servedRequests).containsExactly("e")
            expectThat(sender.served).isEmpty()
            val run = runsOf("e").single()
            expectThat(run.customer).isEqualTo(CustomerName(ForwardingVm.CUSTOMER))
            expectThat(run.values).isEqualTo(mapOf("zone" to "x"))
            expectThat(first.served.single().plan).isEqualTo(plan)
            expectThat(sender.details.getValue("e").member?.value).isEqualTo("a")
            expectThat(sender.details.getValue("e").attempts).isEqualTo(1)
            expectThat(sender.answering).contains(first.name)
        }

        @Test
        fun `after a write of its session requires the point of that write`() {
            val caller = sender.Caller("current")
            caller.ask { caller.sendWrite("w") }
            caller.ask { caller.sendRead("r") }
            expectThat(first.served.last().lastWritten).isEqualTo(group.point)
        }

        @Test
        fun `is placed by its need of the primary`() {
            val bounded = sender.Caller("bounded")
            bounded.ask { bounded.sendRead("r") }
            bounded.ask { bounded.sendWrite("w") }
            val current = sender.Caller("current")
            current.ask { current.sendRead("c") }
            bounded.ask { bounded.sendBegin(readOnly = true) }
            bounded.ask { bounded.sendRead("t") }
            expectThat(sender.asked.distinct().map { it.route.name to it.needsPrimary })
                .containsExactly("bounded" to false, "bounded" to true, "current" to true)
            expectThat(sender.asked.last().needsPrimary).isEqualTo(false)
        }

        @Test
        fun `keeps the time that has passed, so that its deadline does not start anew`() {
            fleet.unconnectable += first.name
            val startedAt = loop.elapsed()
            val caller = sender.Caller("current")
            caller.ask { caller.sendRead("r") }
            val deadline = second.served.single().deadline
            val expected = startedAt + ForwardingVm.ROUTES.getValue("current").statementTimeout
            expectThat((deadline - expected).absoluteValue).isLessThanOrEqualTo(1.milliseconds)
        }

        @Test
        fun `that the home VM refuses is refused, as its queue holds for all VMs`() {
            fillQueueOfFirst()
            val caller = sender.Caller("short")
            val took = timeOf { expectThat(caller.ask { caller.sendRead("r") }).isEqualTo(RejectionCode.BUSY) }
            expectThat(took).isLessThanOrEqualTo(5.milliseconds)
            expectThat(second.served + sender.served).isEmpty()
        }

        private fun fillQueueOfFirst() {
            val requests = (1..150).map { "slow-$it" }
            delay(*requests.toTypedArray())
            requests.forEach { request -> sender.Caller("short").sendWrite(request) }
            loop.advance(10.milliseconds)
        }
    }

    @Nested
    inner class `a home VM` {
        private fun expectServedBySender(customer: String? = ForwardingVm.CUSTOMER, database: String = "current") {
            val caller = sender.Caller(database, customer)
            val took = timeOf { expectThat(caller.ask { caller.sendRead("r") }).isNull() }
            expectThat(took).isLessThan(50.milliseconds)
            expectThat(sender.servedRequests).containsExactly("r")
            expectThat(first.served + second.served).isEmpty()
            expectThat(caller.ask { caller.sendBegin() }).isNull()
            expectThat(caller.ask { caller.sendWrite("t") }).isNull()
            expectThat(caller.ask { caller.sendCommit("c") }).isNull()
            expectThat(sender.servedRequests).containsExactly("r", "t")
            expectThat(first.server.openOperations).isEqualTo(0)
        }

        @Test
        fun `without the route lets the other VM serve it at once`() {
            first.configuration = ForwardingVm.CONFIGURATION.copy(routes = ForwardingVm.ROUTES - "current")
            expectServedBySender()
        }

        @Test
        fun `that does not know the customer lets the other VM serve it at once`() {
            expectServedBySender(customer = "unknown")
        }

        @Test
        fun `where the customer holds no key any more lets the other VM serve it at once`() {
            val withoutKeys = Customer(CustomerName(ForwardingVm.CUSTOMER), emptySet(), limit = null)
            first.configuration = ForwardingVm.CONFIGURATION.copy(customers = CustomerDirectory(listOf(withoutKeys)))
            expectServedBySender()
        }

        @Test
        fun `does not serve callers without a customer on a route that needs a key`() {
            expectServedBySender(customer = null)
        }

        @Test
        fun `serves callers without a customer on a public route`() {
            val caller = sender.Caller("open", customer = null)
            caller.ask { caller.sendRead("r") }
            expectThat(first.servedRequests).containsExactly("r")
        }

        @Test
        fun `that leaves takes no new operations and finishes open transactions`() {
            val caller = sender.Caller("current")
            caller.ask { caller.sendBegin() }
            caller.ask { caller.sendWrite("t-1") }
            first.takesOperations = false
            expectThat(caller.ask { caller.sendWrite("t-2") }).isNull()
            expectThat(caller.ask { caller.sendCommit("c") }).isNull()
            caller.ask { caller.sendRead("r") }
            expectThat(first.servedRequests).containsExactly("t-1", "t-2")
            expectThat(sender.servedRequests).containsExactly("r")
        }

        @Test
        fun `rolls a transaction back that is idle for too long`() {
            val caller = sender.Caller("current")
            caller.ask { caller.sendBegin() }
            caller.ask { caller.sendWrite("t") }
            val before = rollbacks
            loop.advance(ForwardingVm.CONFIGURATION.transactionIdle + 100.milliseconds)
            expectThat(rollbacks).isGreaterThan(before)
            expectThat(caller.ask { caller.sendWrite("t-2") }).isEqualTo(RejectionCode.ABORTED)
            expectThat(runsOf("t-2")).isEmpty()
            expectThat(group.commits).isEqualTo(0)
            expectThat(first.server.openOperations).isEqualTo(0)
        }

        @Test
        fun `that takes its time but answers pings keeps its link`() {
            delay("w")
            val caller = sender.Caller("current")
            val took = timeOf { expectThat(caller.ask { caller.sendWrite("w") }).isEqualTo(RejectionCode.IN_DOUBT) }
            expectThat(took).isGreaterThan(1.seconds)
            expectThat(fleet.drops).isEqualTo(0)
            expectThat(fleet.delivered.count { (vm, message) -> vm == first.name && message.pong != null })
                .isGreaterThan(4)
        }
    }

    @Nested
    inner class `when the link resets` {
        private fun cutWhileRunning(request: String, send: ForwardingVm.Caller.() -> Unit): ForwardingVm.Caller {
            delay(request)
            val caller = sender.Caller("current")
            caller.send()
            loop.advance(20.milliseconds)
            expectThat(runsOf(request)).isNotEmpty()
            group.members.forEach { it.lostAnswers.clear() }
            fleet.cut(sender.name, first.name)
            return caller
        }

        @Test
        fun `a read runs at the next home VM`() {
            val caller = cutWhileRunning("r") { sendRead("r") }
            loop.advance(50.milliseconds)
            expectThat(caller.codes).containsExactly(null)
            expectThat(second.servedRequests).containsExactly("r")
            expectThat(sender.served).isEmpty()
            expectThat(sender.failing).containsExactly(first.name)
        }

        @Test
        fun `a read runs at the sending VM if no home VM is left`() {
            sender.homes = listOf(first.name)
            val caller = cutWhileRunning("r") { sendRead("r") }
            loop.advance(50.milliseconds)
            expectThat(caller.codes).containsExactly(null)
            expectThat(sender.servedRequests).containsExactly("r")
        }

        @Test
        fun `a write that was sent is in doubt and not repeated`() {
            val caller = cutWhileRunning("w") { sendWrite("w") }
            loop.advance(3.seconds)
            expectThat(caller.codes).containsExactly(RejectionCode.IN_DOUBT)
            expectThat(runsOf("w").size).isEqualTo(1)
            expectThat(second.served + sender.served).isEmpty()
        }

        @Test
        fun `a write that was not sent runs at the next home VM`() {
            fleet.unconnectable += first.name
            val caller = sender.Caller("current")
            expectThat(caller.ask { caller.sendWrite("w") }).isNull()
            expectThat(second.servedRequests).containsExactly("w")
            expectThat(runsOf("w").size).isEqualTo(1)
        }

        @Test
        fun `a write runs at the sending VM if nothing can be sent to home VMs`() {
            fleet.unreachable += listOf(first.name, second.name)
            val caller = sender.Caller("current")
            expectThat(caller.ask { caller.sendWrite("w") }).isNull()
            expectThat(sender.servedRequests).containsExactly("w")
        }

        @Test
        fun `an idle transaction is aborted and rolled back`() {
            val caller = sender.Caller("current")
            caller.ask { caller.sendBegin() }
            caller.ask { caller.sendWrite("t") }
            val before = rollbacks
            fleet.cut(sender.name, first.name)
            loop.advance(10.milliseconds)
            expectThat(rollbacks).isGreaterThan(before)
            expectThat(caller.ask { caller.sendWrite("t-2") }).isEqualTo(RejectionCode.ABORTED)
            expectThat(caller.ask { caller.sendCommit("c") }).isEqualTo(RejectionCode.ABORTED)
            expectThat(caller.replies.last().state).isEqualTo(TransactionState.IDLE)
            expectThat(group.commits).isEqualTo(0)
            expectThat(second.served + sender.served).isEmpty()
        }

        @Test
        fun `a transaction is aborted during a statement, even a read, and runs nowhere else`() {
            delay("t")
            val caller = sender.Caller("current")
            caller.ask { caller.sendBegin() }
            caller.sendRead("t")
            loop.advance(20.milliseconds)
            fleet.cut(sender.name, first.name)
            loop.advance(3.seconds)
            expectThat(caller.codes).containsExactly(null, RejectionCode.ABORTED)
            expectThat(runsOf("t").size).isEqualTo(1)
            expectThat(second.served + sender.served).isEmpty()
            expectThat(first.server.openOperations).isEqualTo(0)
        }

        @Test
        fun `a commit that was sent is in doubt`() {
            delay("c")
            val caller = sender.Caller("current")
            caller.ask { caller.sendBegin() }
            caller.ask { caller.sendWrite("t") }
            caller.sendCommit("c")
            loop.advance(20.milliseconds)
            fleet.cut(sender.name, first.name)
            loop.advance(100.milliseconds)
            expectThat(caller.codes.last()).isEqualTo(RejectionCode.IN_DOUBT)
            expectThat(caller.replies.last().state).isEqualTo(TransactionState.IDLE)
        }

        @Test
        fun `the home VM drops the waiting calls of the other one and rolls its transactions back`() {
            val transaction = sender.Caller("current")
            transaction.ask { transaction.sendBegin() }
            transaction.ask { transaction.sendWrite("t") }
            occupySlots()
            sender.Caller("current").sendWrite("waits")
            loop.advance(10.milliseconds)
            val before = rollbacks
            fleet.frozen += sender.name
            fleet.cut(sender.name, first.name)
            loop.advance(10.seconds)
            expectThat(first.servedRequests).contains("waits")
            expectThat(runsOf("waits")).isEmpty()
            expectThat(rollbacks).isGreaterThan(before)
            expectThat(first.server.openOperations).isEqualTo(0)
        }

        @Test
        fun `later operations use a new link`() {
            val caller = cutWhileRunning("r") { sendRead("r") }
            loop.advance(50.milliseconds)
            caller.ask { caller.sendRead("r-2") }
            expectThat(first.servedRequests).containsExactly("r", "r-2")
        }
    }

    @Nested
    inner class `when the sending VM starts again under its name` {
        private val slowCommit = 300.milliseconds

        private fun slowCommits() = group.members.forEach { member ->
            member.workOf = { if (it is MemberCommand.Commit) slowCommit else Duration.ZERO }
        }

        /** Opens a transaction whose next statement is the third request that the process forwards. */
        private fun ForwardingVm.callerInTransaction() = Caller("current").also { caller ->
            homes = listOf(first.name)
            caller.ask { caller.sendBegin() }
            caller.ask { caller.sendWrite("t") }
        }

        private fun restart(): ForwardingVm {
            loop.advance(20.milliseconds)
            fleet.cut(sender.name, first.name)
            return ForwardingVm("sender", loop, group, fleet).also { loop.advance(20.milliseconds) }
        }

        /** A read once succeeded with the signature of a COMMIT that an earlier process of its VM had forwarded. */
        @Test
        fun `its request does not get the answer to one of the earlier process`() {
            slowCommits()
            sender.callerInTransaction().sendCommit("c")
            val reader = restart().callerInTransaction()
            delay("r")
            reader.sendRead("r")
            val replies = reader.replies.size
            loop.advance(slowCommit + 100.milliseconds)
            expectThat(group.commits).isEqualTo(1L)
            expectThat(runsOf("r")).isNotEmpty()
            expectThat(reader.replies).hasSize(replies)
        }

        /** A COMMIT that took effect was once refused with ABORTED, which promises that it did not. */
        @Test
        fun `its commit is not refused as a statement of the earlier process has failed`() {
            delay("hung")
            sender.callerInTransaction().sendWrite("hung")
            val restarted = restart()
            loop.advance(1_300.milliseconds)
            slowCommits()
            val caller = restarted.callerInTransaction()
            caller.sendCommit("c")
            loop.advance(slowCommit + 100.milliseconds)
            expectThat(group.commits).isEqualTo(1L)
            expectThat(caller.replies.last().result).isEqualTo(StatementResult.Completed("signature-c"))
        }
    }

    @Nested
    inner class `when a home VM is silent` {
        @Test
        fun `a read is abandoned within half a second and runs at the next VM`() {
            fleet.frozen += first.name
            val caller = sender.Caller("current")
            val took = timeOf { expectThat(caller.ask { caller.sendRead("r") }).isNull() }
            expectThat(took).isLessThanOrEqualTo(520.milliseconds)
            expectThat(second.servedRequests).containsExactly("r")
            expectThat(sender.failing).containsExactly(first.name)
            expectThat(fleet.drops).isEqualTo(1)
        }

        @Test
        fun `a write is in doubt within half a second`() {
            fleet.frozen += first.name
            val caller = sender.Caller("current")
            val took = timeOf { expectThat(caller.ask { caller.sendWrite("w") }).isEqualTo(RejectionCode.IN_DOUBT) }
            expectThat(took).isLessThanOrEqualTo(510.milliseconds)
        }

        @Test
        fun `after it answered pings for a while, it is abandoned half a second after its last sign`() {
            delay("w")
            val caller = sender.Caller("current")
            caller.sendWrite("w")
            loop.advance(320.milliseconds)
            fleet.frozen += first.name
            loop.advance(500.milliseconds)
            expectThat(caller.codes).containsExactly(RejectionCode.IN_DOUBT)
        }

        @Test
        fun `nothing happens while no answer is due`() {
            val caller = sender.Caller("current")
            caller.ask { caller.sendRead("r") }
            fleet.frozen += first.name
            loop.advance(5.seconds)
            expectThat(fleet.drops).isEqualTo(0)
        }

        @Test
        fun `a write whose answer gets lost while pings are answered is in doubt in the end`() {
            val caller = sender.Caller("current")
            sender.homes = listOf(VmName("deaf"))
            answersOnlyPings(VmName("deaf"))
            val took = timeOf { expectThat(caller.ask { caller.sendWrite("w") }).isEqualTo(RejectionCode.IN_DOUBT) }
            expectThat(took).isLessThanOrEqualTo(2_600.milliseconds)
            loop.advance(5.milliseconds)
            expectThat(fleet.delivered.mapNotNull { it.second.cancel }).isNotEmpty()
        }

        private fun answersOnlyPings(name: VmName) {
            val endpoint = fleet.endpoint(name)
            endpoint.addListener(
                object : PeerListener {
                    override fun received(vm: VmName, message: PeerMessage) {
                        val ping = message.ping ?: return
                        val pong = PongPayload(ping.number)
                        endpoint.send(vm, PeerMessage(pong = pong))
                    }
                },
            )
        }
    }

    @Test
    fun `a VM that vanished without closing its link loses its transactions and calls within two seconds`() {
        val caller = sender.Caller("current")
        caller.ask { caller.sendBegin() }
        caller.ask { caller.sendWrite("t") }
        val before = rollbacks
        fleet.frozen += sender.name
        loop.advance(2.seconds)
        expectThat(rollbacks).isGreaterThan(before)
        expectThat(first.server.openOperations).isEqualTo(0)
    }

    @Nested
    inner class `when a caller disconnects` {
        @Test
        fun `and only then, a statement that waits at the home VM is not run`() {
            occupySlots()
            val caller = sender.Caller("current")
            expectThat(caller.ask { caller.sendWrite("w") }).isNull()
            expectThat(runsOf("w").size).isEqualTo(1)
        }

        @Test
        fun `its statement that waits at the home VM never reaches a member`() {
            occupySlots()
            val caller = sender.Caller("current")
            caller.sendWrite("w")
            loop.advance(10.milliseconds)
            expectThat(first.servedRequests).contains("w")
            caller.session.disconnected()
            loop.advance(5.seconds)
            expectThat(runsOf("w")).isEmpty()
            expectThat(caller.replies).isEmpty()
            expectThat(first.server.openOperations).isEqualTo(0)
        }

        @Test
        fun `its statement that waits here never reaches a member`() {
            sender.homes = emptyList()
            occupySlots()
            val caller = sender.Caller("current")
            caller.sendWrite("w")
            loop.advance(10.milliseconds)
            caller.session.disconnected()
            loop.advance(5.seconds)
            expectThat(sender.servedRequests).contains("w")
            expectThat(runsOf("w")).isEmpty()
        }

        @Test
        fun `its statement that waits for a link is not sent to another VM`() {
            fleet.unconnectable += first.name
            val caller = sender.Caller("current")
            caller.sendWrite("w")
            caller.session.disconnected()
            loop.advance(5.seconds)
            expectThat(first.served + second.served + sender.served).isEmpty()
        }

        @Test
        fun `its open transaction is rolled back at the home VM`() {
            val caller = sender.Caller("current")
            caller.ask { caller.sendBegin() }
            caller.ask { caller.sendWrite("t") }
            val before = rollbacks
            caller.session.disconnected()
            loop.advance(10.milliseconds)
            expectThat(rollbacks).isGreaterThan(before)
            expectThat(first.server.openOperations).isEqualTo(0)
            expectThat(group.commits).isEqualTo(0)
        }
    }

    @Nested
    inner class `a transaction` {
        @Test
        fun `keeps its home VM from the first statement to the commit`() {
            val caller = sender.Caller("current")
            caller.ask { caller.sendBegin() }
            caller.ask { caller.sendWrite("t-1") }
            sender.homes = listOf(second.name)
            caller.ask { caller.sendWrite("t-2") }
            expectThat(caller.ask { caller.sendCommit("c") }).isNull()
            expectThat(first.servedRequests).containsExactly("t-1", "t-2")
            expectThat(runsOf("t-1").map { it.connection }).isEqualTo(runsOf("t-2").map { it.connection })
            expectThat(group.commits).isEqualTo(1)
            expectThat(first.server.openOperations).isEqualTo(0)
            caller.ask { caller.sendRead("r") }
            expectThat(second.served.last().lastWritten).isNotNull().isEqualTo(group.point)
        }

        @Test
        fun `that its caller rolls back leaves nothing at the home VM`() {
            val caller = sender.Caller("current")
            caller.ask { caller.sendBegin() }
            caller.ask { caller.sendWrite("t") }
            caller.ask { caller.send("b", SessionStatement.Rollback) }
            loop.advance(10.milliseconds)
            expectThat(first.server.openOperations).isEqualTo(0)
            expectThat(group.commits).isEqualTo(0)
        }

        @Test
        fun `with a failed statement leaves nothing at the home VM`() {
            group.leader.rejections["t"] = RejectionCode.FAILED
            val caller = sender.Caller("current")
            caller.ask { caller.sendBegin() }
            expectThat(caller.ask { caller.sendWrite("t") }).isEqualTo(RejectionCode.FAILED)
            expectThat(caller.replies.last().state).isEqualTo(TransactionState.FAILED)
            expectThat(first.server.openOperations).isEqualTo(0)
            caller.ask { caller.send("b", SessionStatement.Rollback) }
            expectThat(caller.ask { caller.sendWrite("w") }).isNull()
        }

        @Test
        fun `begins at the next VM if its first statement cannot be sent`() {
            fleet.unconnectable += first.name
            val caller = sender.Caller("current")
            caller.ask { caller.sendBegin() }
            expectThat(caller.ask { caller.sendWrite("t") }).isNull()
            expectThat(caller.ask { caller.sendCommit("c") }).isNull()
            expectThat(second.servedRequests).containsExactly("t")
            expectThat(group.commits).isEqualTo(1)
        }

        @Test
        fun `that is interrupted by the leaving home VM is aborted`() {
            val caller = sender.Caller("current")
            caller.ask { caller.sendBegin() }
            caller.ask { caller.sendWrite("t") }
            first.server.interruptTransactions()
            expectThat(caller.ask { caller.sendCommit("c") }).isEqualTo(RejectionCode.ABORTED)
            expectThat(group.commits).isEqualTo(0)
        }

        /** Such a transaction once went on until the home VM's process ended. */
        @Test
        fun `that runs a statement when the leaving home VM interrupts it is aborted afterwards`() {
            val caller = sender.Caller("current")
            caller.ask { caller.sendBegin() }
            caller.ask { caller.sendWrite("t-1") }
            group.members.forEach { member ->
                member.workOf = { if (it is MemberCommand.Run) 100.milliseconds else Duration.ZERO }
            }
            caller.sendWrite("t-2")
            loop.advance(20.milliseconds)
            first.server.interruptTransactions()
            loop.advance(200.milliseconds)
            expectThat(caller.codes.last()).isNull()
            expectThat(runsOf("t-2")).hasSize(1)
            expectThat(caller.ask { caller.sendCommit("c") }).isEqualTo(RejectionCode.ABORTED)
            expectThat(group.commits).isEqualTo(0)
            expectThat(first.server.openOperations).isEqualTo(0)
        }

        @Test
        fun `is not begun at a later statement, as the earlier ones would be missing`() {
            val caller = sender.Caller("current")
            caller.ask { caller.sendBegin() }
            caller.ask { caller.sendWrite("t-1") }
            first.server.disconnected(sender.name)
            expectThat(caller.ask { caller.sendWrite("t-2") }).isEqualTo(RejectionCode.ABORTED)
            expectThat(runsOf("t-2")).isEmpty()
            expectThat(caller.ask { caller.sendCommit("c") }).isEqualTo(RejectionCode.ABORTED)
            expectThat(group.commits).isEqualTo(0)
        }
    }

    @Nested
    inner class `an answer that is too large to be forwarded` {
        @Test
        fun `is rejected without losing the link for others`() {
            delay("slow")
            val other = sender.Caller("current")
            other.sendWrite("slow")
            first.enlarged += listOf("r", "w")
            val caller = sender.Caller("current")
            expectThat(caller.ask { caller.sendRead("r") }).isEqualTo(RejectionCode.FAILED)
            expectThat(caller.ask { caller.sendWrite("w") }).isEqualTo(RejectionCode.IN_DOUBT)
            expectThat(fleet.drops).isEqualTo(0)
            expectThat(other.replies).isEmpty()
        }

        @Test
        fun `aborts its transaction`() {
            first.enlarged += "t"
            val caller = sender.Caller("current")
            caller.ask { caller.sendBegin() }
            expectThat(caller.ask { caller.sendWrite("t") }).isEqualTo(RejectionCode.ABORTED)
            expectThat(first.server.openOperations).isEqualTo(0)
            expectThat(caller.ask { caller.sendCommit("c") }).isEqualTo(RejectionCode.ABORTED)
            expectThat(group.commits).isEqualTo(0)
        }
    }
}
