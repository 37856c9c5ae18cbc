package dev.kumquatknot.proxy.interactive

import dev.kumquatknot.core.configuration.Rank
import dev.kumquatknot.core.customer.CustomerName
import dev.kumquatknot.core.identity.RequestId
import dev.kumquatknot.core.interactive.InteractiveRoute
import dev.kumquatknot.core.interactive.MemberCommand
import dev.kumquatknot.core.interactive.ReadConsistency
import dev.kumquatknot.core.interactive.RejectionCode
import dev.kumquatknot.core.interactive.SessionReply
import dev.kumquatknot.core.interactive.StatementAccess
import dev.kumquatknot.core.interactive.StatementPlan
import dev.kumquatknot.core.interactive.StatementResult
import dev.kumquatknot.core.interactive.TransactionState
import dev.kumquatknot.core.platform.StoreEra
import dev.kumquatknot.proxy.event.EventLog
import dev.kumquatknot.proxy.pool.ConnectionBudget
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isNotEmpty
import strikt.assertions.isTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A caller that disconnects must not cause work at a member, nor keep a slot or a connection from others. */
class CancelledStatementSpec {
    private val loop = VirtualLoop()
    private val group = FakeGroup(loop)
    private val commands = ArrayList<MemberCommand>()
    private val environment =
        NodeEnvironment(loop, loop::schedule, group::open, EventLog(), InteractiveLimits())
    private val pools = GroupPools(
        group = FakeGroup.NAME,
        environment = environment,
        isRemote = { false },
        connections = { ConnectionBudget(20, 1) },
        listener = object : GroupListener {
            override fun changed() = Unit

            override fun primaryUnknown(group: GroupPools) = Unit
        },
    )
    private val executor = LocalExecutor({ pools }, environment, OperationLimiter.UNLIMITED)
    private val outcomes = ArrayList<StatementOutcome>()
    private val poller = GroupPoller(environment, isHome = { true }, onFailure = {})

    init {
        group.beforeAnswer = { commands += it }
        pools.updateMembers(group.discovered(), StoreEra.UNKNOWN)
        maintain()
        poll()
        loop.advance(1.seconds)
    }

    private fun maintain() {
        pools.maintainIfDue()
        loop.schedule(environment.limits.maintenanceInterval, ::maintain)
    }

    private fun poll() {
        poller.poll(pools, false)
        loop.schedule(environment.limits.pollInterval, ::poll)
    }

    private fun call(
        request: String,
        values: Map<String, String> = emptyMap(),
        plan: StatementPlan? = null,
        customer: CustomerName? = null,
        timeout: Duration = ROUTE.statementTimeout,
    ) = StatementCall(
        request = RequestId(request),
        route = ROUTE.copy(statementTimeout = timeout),
        customer = customer,
        access = StatementAccess.WRITE,
        plan = plan,
        text = "WRITE 1 x",
        values = values,
        lastWritten = null,
        startedAt = loop.elapsed(),
    )

    private fun run(request: String) = run(call(request))

    private fun run(call: StatementCall) = executor.run(call) { outcomes += it }

    /** A call that no open connection can serve. */
    private fun callOfNewCustomer(request: String) = call(request, customer = CustomerName("new"))

    private fun runsOf(request: String) = group.runs.filter { it.request == request }

    /** Occupies both slots that this VM has of the primary for 300 ms. */
    private fun fillSlots() {
        group.leader.lostAnswers += listOf("slow-1", "slow-2")
        run(call("slow-1", timeout = 300.milliseconds))
        run(call("slow-2", timeout = 300.milliseconds))
        loop.advance(10.milliseconds)
    }

    @Nested
    inner class `a statement that waits for a slot` {
        @Test
        fun `runs when a slot is free`() {
            fillSlots()
            run("w")
            loop.advance(2.seconds)
            expectThat(runsOf("w")).isNotEmpty()
        }

        @Test
        fun `is never sent after it was cancelled`() {
            fillSlots()
            val cancel = run("w")
            loop.advance(10.milliseconds)
            cancel()
            val answeredBefore = outcomes.size
            loop.advance(3.seconds)
            expectThat(runsOf("w")).isEmpty()
            expectThat(outcomes.size - answeredBefore).isEqualTo(2)
        }

        @Test
        fun `gives way to the next one`() {
            fillSlots()
            val cancel = run("w-1")
            run("w-2")
            cancel()
            loop.advance(2.seconds)
            expectThat(group.runs.map { it.request }.filter { it.startsWith("w") }).containsExactly("w-2")
        }
    }

    @Nested
    inner class `a statement that waits for a connection` {
        @Test
        fun `runs when the connection is open`() {
            group.members.forEach { it.openingTime = 150.milliseconds }
            run(callOfNewCustomer("w"))
            loop.advance(2.seconds)
            expectThat(runsOf("w")).isNotEmpty()
        }

        @Test
        fun `is never sent after it was cancelled, and its slot is free at once`() {
            group.members.forEach { it.openingTime = 150.milliseconds }
            val cancel = run(callOfNewCustomer("w"))
            loop.advance(10.milliseconds)
            cancel()
            run("other-1")
            run("other-2")
            loop.advance(100.milliseconds)
            expectThat(group.runs.map { it.request }).containsExactly("other-1", "other-2")
            loop.advance(3.seconds)
            expectThat(runsOf("w")).isEmpty()
        }
    }

    @Test
    fun `a statement that is cancelled while its session values are set is never sent`() {
        val cancel = run(call("w", mapOf("zone" to "x"), StatementPlan(StatementAccess.WRITE, "shape")))
        cancel()
        loop.advance(2.seconds)
        expectThat(runsOf("w")).isEmpty()
        expectThat(commands.any { it is MemberCommand.SetValue }).isTrue()
        run("next")
        loop.advance(50.milliseconds)
        expectThat(runsOf("next")).isNotEmpty()
    }

    @Test
    fun `a statement that is cancelled while it waits for a primary is never sent`() {
        group.leader.rejections["w"] = RejectionCode.BUSY
        val cancel = run("w")
        loop.advance(5.milliseconds)
        group.leader.rejections.clear()
        cancel()
        loop.advance(2.seconds)
        expectThat(runsOf("w")).isEmpty()
        expectThat(outcomes).isEmpty()
    }

    @Test
    fun `a statement that was sent before it was cancelled returns its connection`() {
        val cancel = run("w")
        cancel()
        loop.advance(1.seconds)
        expectThat(outcomes).isEmpty()
        run("next")
        loop.advance(800.milliseconds)
        expectThat(outcomes.map { it.reply.result }).containsExactly(StatementResult.Completed("signature-next"))
        expectThat(runsOf("next").map { it.connection }).isEqualTo(runsOf("w").map { it.connection })
    }

    @Test
    fun `a transaction that is abandoned while it waits for a connection begins nowhere`() {
        group.members.forEach { it.openingTime = 150.milliseconds }
        val transaction = executor.begin(ROUTE, readOnly = false)
        val replies = ArrayList<SessionReply>()
        commands.clear()
        transaction.run(callOfNewCustomer("t")) { replies += it }
        loop.advance(10.milliseconds)
        transaction.abandon()
        loop.advance(3.seconds)
        expectThat(runsOf("t")).isEmpty()
        expectThat(replies.filter { it.state == TransactionState.OPEN }).isEmpty()
    }

    private companion object {
        val ROUTE = InteractiveRoute(
            name = "current",
            group = FakeGroup.NAME,
            consistency = ReadConsistency.CURRENT,
            statementTimeout = 800.milliseconds,
            target = 500.milliseconds,
            rank = Rank.URGENT,
            maximumStaleness = 1.seconds,
        )
    }
}
