package dev.kumquatknot.proxy.pool

import dev.kumquatknot.core.configuration.Rank
import dev.kumquatknot.core.customer.CallerKey
import dev.kumquatknot.core.customer.Customer
import dev.kumquatknot.core.customer.CustomerDirectory
import dev.kumquatknot.core.customer.CustomerName
import dev.kumquatknot.core.fleet.FleetView
import dev.kumquatknot.core.fleet.FleetVm
import dev.kumquatknot.core.identity.DataCentre
import dev.kumquatknot.core.identity.Region
import dev.kumquatknot.core.identity.RequestId
import dev.kumquatknot.core.identity.VmName
import dev.kumquatknot.core.interactive.InteractiveConfiguration
import dev.kumquatknot.core.interactive.InteractiveRoute
import dev.kumquatknot.core.interactive.MemberCommand
import dev.kumquatknot.core.interactive.ReadConsistency
import dev.kumquatknot.core.interactive.SessionReply
import dev.kumquatknot.core.interactive.SessionStatement
import dev.kumquatknot.core.interactive.StatementAccess
import dev.kumquatknot.core.interactive.StatementResult
import dev.kumquatknot.proxy.event.EventLog
import dev.kumquatknot.proxy.interactive.FakeGroup
import dev.kumquatknot.proxy.interactive.FakeSlots
import dev.kumquatknot.proxy.interactive.InteractiveNode
import dev.kumquatknot.proxy.interactive.InteractivePorts
import dev.kumquatknot.proxy.interactive.SessionOpening
import dev.kumquatknot.proxy.interactive.SessionPeer
import dev.kumquatknot.proxy.interactive.VirtualLoop
import dev.kumquatknot.proxy.interactive.VmPlace
import org.junit.jupiter.api.Tag
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isLessThanOrEqualTo
import kotlin.math.ln
import kotlin.math.pow
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * The load of one home VM: 86 customers, of which the k-th largest sends in proportion to k^-1.2, at a member whose
 * connections do not suffice for all of them.
 */
class CustomerLoadSpec {
    private class Load(val route: String, val share: Double, val access: StatementAccess, val work: Duration)

    private class Answer(val customer: Int, val route: String, val time: Duration, val reply: SessionReply)

    private val loads = listOf(
        Load("booking", 76.0 / 565, StatementAccess.WRITE, 6.milliseconds),
        Load("mixed", 357.0 / 565, StatementAccess.READ, 18.milliseconds),
        Load("report", 132.0 / 565, StatementAccess.READ, 30.milliseconds),
    )
    private val customers = (1..CUSTOMERS).map { number ->
        Customer(CustomerName("customer-$number"), setOf(CallerKey("key-$number")), limit = null)
    }
    private val sizes = (1..CUSTOMERS).map { it.toDouble().pow(-SKEW) }
    private val loop = VirtualLoop()
    private val group = FakeGroup(loop).apply { appliesAtOnce = true }
    private val primary = group.members[0]
    private val random = Random(SEED)
    private val answers = ArrayList<Answer>()
    private val works = HashMap<String, Duration>()
    private var sent = 0
    private val node = startNode()

    private fun startNode(): InteractiveNode {
        group.members.forEach { member ->
            member.slots = SLOTS
            member.connectionLimit = CONNECTIONS
            member.openingTime = 12.milliseconds
            member.busySlots = FakeSlots(SLOTS, loop)
            member.workOf = { command ->
                if (command is MemberCommand.Run) works.getValue(command.request.value) else Duration.ZERO
            }
        }
        val routes = listOf(
            route("booking", Rank.URGENT, 252.milliseconds),
            route("mixed", Rank.STANDARD, 502.milliseconds),
            route("report", Rank.BACKGROUND, 1_202.milliseconds),
        ).associateBy { it.name }
        val place = VmPlace(DataCentre("a"), listOf("a", "b", "c").associate { DataCentre(it) to Region("region-$it") })
        // Home VM of its own region; each of the others has one, too.
        val self = FleetVm(VmName("home"), 1, "127.0.0.1:1", DataCentre("a"), 1.0)
        val others = listOf("b", "c").map { self.copy(name = VmName(it), dataCentre = DataCentre(it)) }
        val fleet = FleetView(self).apply { update(others + self) }
        val ports = InteractivePorts(loop, loop::schedule, group::open, EventLog())
        return InteractiveNode(place, ports, fleet = fleet).apply {
            fleetSize = 87
            configure(
                InteractiveConfiguration(
                    number = 1,
                    routes = routes,
                    connections = mapOf(FakeGroup.NAME to CONNECTIONS),
                    transactionIdle = 3.seconds,
                    customers = CustomerDirectory(customers),
                ),
            )
            updateMembers(group.discovered())
            start()
        }
    }

    private fun route(name: String, rank: Rank, target: Duration) =
        InteractiveRoute(name, FakeGroup.NAME, ReadConsistency.CURRENT, target * 2, target, rank, 1_500.milliseconds)

    private fun <T> pick(items: List<T>, weights: List<Double>): T {
        var rest = random.nextDouble() * weights.sum()
        return items[weights.indexOfFirst { weight -> (rest - weight).also { rest = it } < 0 }]
    }

    private fun send() {
        val customer = pick(customers.indices.toList(), sizes)
        val load = pick(loads, loads.map { it.share })
        val request = RequestId("r${sent++}")
        works[request.value] = load.work
        val sentAt = loop.elapsed()
        val peer = object : SessionPeer {
            override fun reply(reply: SessionReply) {
                answers += Answer(customer, load.route, loop.elapsed() - sentAt, reply)
            }

            override fun close() = Unit
        }
        node.open(load.route, customers[customer].keys.single(), peer) { opening ->
            val statement = SessionStatement.Run(load.access, "statement")
            (opening as SessionOpening.Opened).session.submit(request, statement)
        }
    }

    private fun play(time: Duration) {
        val until = loop.elapsed() + time
        while (loop.elapsed() < until) {
            loop.advance(1.seconds * (-ln(1 - random.nextDouble()) / STATEMENTS_PER_SECOND))
            send()
        }
    }

    private class Outcome(val openingsPerOperation: Double, val served: Int, val answers: Int, val median: Duration)

    private fun playLoad(): Outcome {
        loop.advance(1.seconds)
        play(1.seconds)
        val openedBefore = primary.opened
        val sentBefore = sent
        play(LOAD_TIME)
        val openings = (primary.opened - openedBefore).toDouble() / (sent - sentBefore)
        loop.advance(3.seconds)
        return Outcome(
            openings,
            answers.count { it.reply.result is StatementResult.Completed },
            answers.size,
            answers.filter { it.route == "booking" }.map { it.time }.sorted().let { it[it.size / 2] },
        )
    }

    /** The target of the page "Customers, fleet-wide connections and load balancing". */
    @Tag("known-red")
    @Test
    fun `at most one operation in twenty opens a connection`() {
        expectThat(playLoad().openingsPerOperation).isLessThanOrEqualTo(0.05)
    }

    @Test
    fun `nobody is refused, and short operations take less than 60 ms at the median`() {
        val outcome = playLoad()
        expectThat(outcome.served).isEqualTo(outcome.answers).isEqualTo(sent)
        expectThat(outcome.median).isLessThan(60.milliseconds)
    }

    /** Guards against a home VM that takes the connections of others or loses some by being rejected. */
    @Test
    fun `the member rejects no connection, and at most six tenths of its connections are open`() {
        playLoad()
        expectThat(primary.rejectedOpenings).isEqualTo(0)
        expectThat(primary.open).isLessThanOrEqualTo(33)
    }

    private companion object {
        const val SEED = 5L
        const val CUSTOMERS = 86
        const val SKEW = 1.2
        const val SLOTS = 4
        const val CONNECTIONS = 56
        const val STATEMENTS_PER_SECOND = 100.0
        val LOAD_TIME = 10.seconds
    }
}
