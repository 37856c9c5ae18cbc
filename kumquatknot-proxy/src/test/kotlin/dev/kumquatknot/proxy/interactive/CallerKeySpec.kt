package dev.kumquatknot.proxy.interactive

import dev.kumquatknot.core.configuration.Rank
import dev.kumquatknot.core.customer.CallerKey
import dev.kumquatknot.core.customer.ConfigurationFreshness
import dev.kumquatknot.core.customer.Customer
import dev.kumquatknot.core.customer.CustomerDirectory
import dev.kumquatknot.core.customer.CustomerName
import dev.kumquatknot.core.customer.LimitWindow
import dev.kumquatknot.core.customer.RateLimit
import dev.kumquatknot.core.identity.DataCentre
import dev.kumquatknot.core.identity.Region
import dev.kumquatknot.core.identity.RequestId
import dev.kumquatknot.core.identity.VmName
import dev.kumquatknot.core.interactive.InteractiveConfiguration
import dev.kumquatknot.core.interactive.InteractiveRoute
import dev.kumquatknot.core.interactive.MemberCommand
import dev.kumquatknot.core.interactive.ReadConsistency
import dev.kumquatknot.core.interactive.RejectionCode
import dev.kumquatknot.core.interactive.SessionReply
import dev.kumquatknot.core.interactive.SessionStatement
import dev.kumquatknot.core.interactive.StatementAccess
import dev.kumquatknot.core.interactive.StatementResult
import dev.kumquatknot.proxy.event.Event
import dev.kumquatknot.proxy.limit.CapturedEvents
import dev.kumquatknot.proxy.limit.FakeFleet
import dev.kumquatknot.proxy.limit.FleetLimiter
import dev.kumquatknot.proxy.limit.LimiterEnvironment
import dev.kumquatknot.proxy.limit.LimiterPlaces
import dev.kumquatknot.proxy.metric.InteractiveMetrics
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThan
import strikt.assertions.isNull
import strikt.assertions.isTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against service without a valid key, lost work of callers whose key is withdrawn, and keys that leak. */
class CallerKeySpec {
    private val loop = VirtualLoop()
    private val group = FakeGroup(loop)
    private val events = CapturedEvents("CallerKeySpec")
    private val metrics = InteractiveMetrics()
    private val memberMessages = ArrayList<String>()
    private val fleet = FakeFleet(loop)

    private val routes = listOf("private", "public").map {
        InteractiveRoute(
            it,
            FakeGroup.NAME,
            ReadConsistency.CURRENT,
            800.milliseconds,
            500.milliseconds,
            Rank.URGENT,
            1_500.milliseconds,
            isPublic = it == "public",
        )
    }

    private fun configuration(number: Long, vararg keys: String) = InteractiveConfiguration(
        number,
        routes.associateBy { it.name },
        mapOf(FakeGroup.NAME to 20),
        3.seconds,
        CustomerDirectory(
            listOf(
                Customer(CustomerName("north"), keys.map(::CallerKey).toSet(), RateLimit(2.0, 2.0)),
                Customer(CustomerName("south"), setOf(CallerKey("key-of-south")), null),
            ),
        ),
    )

    private fun node(freshness: ConfigurationFreshness = ConfigurationFreshness.UNBOUNDED): InteractiveNode {
        val place = VmPlace(DataCentre("b"), listOf("a", "b", "c").associate { DataCentre(it) to Region("region-$it") })
        val ports = InteractivePorts(
            loop,
            loop::schedule,
            { member, customer, callbacks ->
                memberMessages += "open $member $customer"
                val link = group.open(member, customer, callbacks)
                object : MemberLink by link {
                    override fun send(commands: List<MemberCommand>) {
                        memberMessages += commands.map { it.toString() }
                        link.send(commands)
                    }
                }
            },
            events.log,
            metrics,
        )
        return InteractiveNode(place, ports, freshness = freshness).also {
            it.configure(configuration(1, KEY))
            it.updateMembers(group.discovered())
            it.start()
            loop.advance(1.seconds)
        }
    }

    private inner class Caller(node: InteractiveNode, database: String, key: String?) : SessionPeer {
        val replies = ArrayList<SessionReply>()
        var closed = false
        lateinit var opening: SessionOpening

        init {
            node.open(database, key?.let(::CallerKey), this) { opening = it }
        }

        override fun reply(reply: SessionReply) {
            replies += reply
        }

        override fun close() {
            closed = true
        }

        fun ask(statement: SessionStatement = READ): RejectionCode? {
            (opening as SessionOpening.Opened).session.submit(RequestId("r"), statement)
            loop.advance(400.milliseconds)
            return (replies.last().result as? StatementResult.Rejected)?.code
        }
    }

    @AfterEach
    fun detach() = events.close()

    @Nested
    inner class `a session` {
        @Test
        fun `with an unknown key is rejected at its opening`() {
            val node = node()
            listOf("unknown", null).forEach { key ->
                expectThat(Caller(node, "private", key).opening).isA<SessionOpening.Rejected>()
                    .get { code }.isEqualTo(RejectionCode.UNAUTHENTICATED)
            }
        }

        @Test
        fun `on a public route needs no key`() {
            val node = node()
            listOf("unknown", null, KEY).forEach { expectThat(Caller(node, "public", it).ask()).isNull() }
        }

        @Test
        fun `that is idle is closed when its key is withdrawn`() {
            val node = node()
            val caller = Caller(node, "private", KEY)
            val other = Caller(node, "private", "key-of-south")
            expectThat(caller.ask()).isNull()
            node.configure(configuration(2, "another"))
            expectThat(caller.closed).isTrue()
            expectThat(other.closed).isFalse()
            expectThat(other.ask()).isNull()
        }

        @Test
        fun `may end its transaction when its key is withdrawn, and is rejected and closed after that`() {
            val node = node()
            val caller = Caller(node, "private", KEY)
            caller.ask(SessionStatement.Begin(readOnly = false))
            expectThat(caller.ask(WRITE)).isNull()
            node.configure(configuration(2))
            expectThat(caller.closed).isFalse()
            expectThat(caller.ask(WRITE)).isNull()
            group.appliesAtOnce = true
            expectThat(caller.ask(SessionStatement.Commit("COMMIT"))).isNull()
            expectThat(caller.ask()).isEqualTo(RejectionCode.UNAUTHENTICATED)
            expectThat(caller.closed).isTrue()
        }

        @Test
        fun `is served for the customer that its key has moved to from the next operation on`() {
            val node = node()
            val caller = Caller(node, "private", KEY)
            caller.ask()
            val moved = CustomerDirectory(listOf(Customer(CustomerName("south"), setOf(CallerKey(KEY)), null)))
            node.configure(configuration(2).copy(customers = moved))
            caller.ask()
            expectThat(group.runs.last().customer).isEqualTo(CustomerName("south"))
        }
    }

    @Nested
    inner class `a configuration that the store does not confirm` {
        private fun nodeConfirmedAt(age: Int, isStrict: Boolean): InteractiveNode {
            val node = node(ConfigurationFreshness(5.seconds, isStrict))
            node.configurationConfirmed(loop.elapsed())
            loop.advance(age.milliseconds)
            return node
        }

        @Test
        fun `rejects operations that need a key if the rule is strict, until it is confirmed`() {
            val node = nodeConfirmedAt(age = 4_000, isStrict = true)
            val caller = Caller(node, "private", KEY)
            expectThat(caller.ask()).isNull()
            loop.advance(2.seconds)
            expectThat(caller.ask()).isEqualTo(RejectionCode.UNAUTHENTICATED)
            expectThat(caller.closed).isFalse()
            expectThat(Caller(node, "public", null).ask()).isNull()
            node.configurationConfirmed(loop.elapsed())
            expectThat(caller.ask()).isNull()
        }

        @Test
        fun `stays in force if the rule is not strict`() {
            val node = nodeConfirmedAt(age = 60_000, isStrict = false)
            expectThat(Caller(node, "private", KEY).ask()).isNull()
        }

        @Test
        fun `lets open transactions end, and does not matter without customers`() {
            val node = nodeConfirmedAt(age = 0, isStrict = true)
            val caller = Caller(node, "private", KEY)
            caller.ask(SessionStatement.Begin(readOnly = true))
            expectThat(caller.ask()).isNull()
            loop.advance(2.seconds)
            expectThat(caller.ask()).isNull()
            loop.advance(2.seconds)
            loop.advance(500.milliseconds)
            expectThat(caller.ask()).isNull()
            val open = configuration(2).copy(customers = CustomerDirectory.EMPTY)
            node.configure(open)
            expectThat(Caller(node, "private", null).ask()).isNull()
        }
    }

    @Nested
    inner class `the text of a key` {
        @Test
        fun `is in no log line, metric, reply, or message to members and VMs`() {
            val node = node()
            val vm = VmName("vm-0")
            val places = LimiterPlaces(vm, run = 1, { listOf(vm, VmName("vm-1")) }, { 2 })
            val environment = LimiterEnvironment(loop, loop::schedule, events.log, metrics)
            node.limiter =
                FleetLimiter(places, fleet.Links(vm), environment, LimitWindow(5.seconds, overage = 0.1, slack = 20))
            loop.advance(20.seconds)
            val caller = Caller(node, "private", KEY)
            val rejected = Caller(node, "private", "$KEY-unknown")
            repeat(40) { caller.ask() }
            caller.ask(SessionStatement.Begin(readOnly = false))
            caller.ask(WRITE)
            node.configure(configuration(2))
            caller.ask(SessionStatement.Rollback)
            expectThat(caller.ask()).isEqualTo(RejectionCode.UNAUTHENTICATED)

            expectThat(events.linesOf(Event.LIMIT_REACHED)).get { size }.isGreaterThan(0)
            expectThat(events.linesOf(Event.STATEMENT_REJECTED)).get { size }.isGreaterThan(0)
            expectThat(metrics.exposition()).contains("north")
            expectThat(memberMessages.filter { it.startsWith("open") && "north" in it }.size).isGreaterThan(0)
            val texts = events.lines + metrics.exposition() + memberMessages + fleet.sent.map { it.toString() } +
                caller.replies.map { it.toString() } + rejected.opening.toString() + node.configuration.toString() +
                node.configuration.customers.customers.toString()
            expectThat(texts.filter { KEY in it }).isEmpty()
        }
    }

    private companion object {
        const val KEY = "key-4711-of-north"
        val READ = SessionStatement.Run(StatementAccess.READ, "READ 1")
        val WRITE = SessionStatement.Run(StatementAccess.WRITE, "WRITE 1 x")
    }
}
