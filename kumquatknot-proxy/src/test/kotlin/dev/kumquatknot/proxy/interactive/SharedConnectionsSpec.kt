package dev.kumquatknot.proxy.interactive

import dev.kumquatknot.core.configuration.Rank
import dev.kumquatknot.core.identity.DataCentre
import dev.kumquatknot.core.identity.Region
import dev.kumquatknot.core.identity.RequestId
import dev.kumquatknot.core.interactive.InteractiveConfiguration
import dev.kumquatknot.core.interactive.InteractiveRoute
import dev.kumquatknot.core.interactive.ReadConsistency
import dev.kumquatknot.core.interactive.SessionReply
import dev.kumquatknot.core.interactive.SessionStatement
import dev.kumquatknot.core.interactive.StatementAccess
import dev.kumquatknot.core.interactive.StatementResult
import dev.kumquatknot.proxy.event.EventLog
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * The load of a quiet day with more VMs than a member takes connections: each VM needs a member now and then. With a
 * connection of its own for good, every VM beyond the limit rejects all that it is asked.
 */
class SharedConnectionsSpec {
    private val loop = VirtualLoop()
    private val group = FakeGroup(loop).apply { appliesAtOnce = true }
    private val dataCentres = listOf("a", "b", "c")
    private val replies = ArrayList<Pair<Duration, SessionReply>>()

    private val routes = listOf(
        route("booking", ReadConsistency.CURRENT),
        route("own", ReadConsistency.READ_YOUR_WRITES),
    )
        .associateBy { it.name }

    private fun route(name: String, consistency: ReadConsistency) =
        InteractiveRoute(name, FakeGroup.NAME, consistency, 1.seconds, TARGET, Rank.URGENT, 1_500.milliseconds)

    private fun startVm(index: Int): InteractiveNode {
        val place = VmPlace(
            DataCentre(dataCentres[index % dataCentres.size]),
            dataCentres.associate { DataCentre(it) to Region("region-$it") },
        )
        val node = InteractiveNode(place, InteractivePorts(loop, loop::schedule, group::open, EventLog()))
        node.configure(InteractiveConfiguration(1, routes, mapOf(FakeGroup.NAME to CONNECTIONS), 3.seconds))
        node.updateMembers(group.discovered())
        node.fleetSize = VMS
        loop.schedule(index.milliseconds) { node.start() }
        return node
    }

    private inner class Caller(node: InteractiveNode, database: String) : SessionPeer {
        private var opening: SessionOpening? = null
        private var sentAt = Duration.ZERO
        private var requests = 0

        init {
            node.open(database, null, this) { opening = it }
        }

        fun send(statement: SessionStatement) {
            sentAt = loop.elapsed()
            (opening as SessionOpening.Opened).session.submit(RequestId("${hashCode()}-${requests++}"), statement)
        }

        override fun reply(reply: SessionReply) {
            replies += loop.elapsed() - sentAt to reply
        }

        override fun close() = Unit
    }

    /** Each VM writes a booking and reads in turn, at intervals longer than it keeps an idle connection. */
    private fun playLoad() {
        group.members.forEach { it.connectionLimit = CONNECTIONS }
        val callers = (0 until VMS).map { startVm(it) }.map { Caller(it, "booking") to Caller(it, "own") }
        loop.advance(3.seconds)
        repeat(ROUNDS) {
            callers.forEach { (booking, own) ->
                booking.send(SessionStatement.Run(StatementAccess.WRITE, "WRITE 1 x"))
                own.send(SessionStatement.Run(StatementAccess.READ, "READ 1"))
                loop.advance(STEP)
            }
        }
        loop.advance(2.seconds)
    }

    @Test
    fun `all VMs are served by a member that takes fewer connections than there are VMs`() {
        playLoad()
        val served = replies.filter { (_, reply) -> reply.result is StatementResult.Completed }
        expectThat(served.size).isEqualTo(2 * VMS * ROUNDS)
        expectThat(served.count { (time, _) -> time <= TARGET }).isEqualTo(served.size)
    }

    /** Writes at random times to members that take [connections]; returns the attempts to connect to them meanwhile. */
    private fun playRandomWrites(connections: Int): Int {
        group.members.forEach { it.connectionLimit = connections }
        val callers = (0 until VMS).map { startVm(it) }.map { Caller(it, "booking") }
        loop.advance(3.seconds)
        val openedBefore = group.members.sumOf { it.opened }
        val random = Random(SEED)
        repeat(RANDOM_STATEMENTS) {
            callers.random(random).send(SessionStatement.Run(StatementAccess.WRITE, "WRITE 1 x"))
            loop.advance(STEP)
        }
        loop.advance(2.seconds)
        return group.members.sumOf { it.opened } - openedBefore
    }

    @Test
    fun `writes at random times and their confirmations find a connection of their VM in two of five cases`() {
        val opened = playRandomWrites(CONNECTIONS)
        expectThat(replies.count { (_, reply) -> reply.result is StatementResult.Completed }).isEqualTo(replies.size)
        // Each write needs the primary and one replica.
        expectThat(opened).isLessThan(2 * replies.size * 3 / 5)
    }

    @Test
    fun `members with far fewer connections than VMs refuse at most one attempt for each that they accept`() {
        val opened = playRandomWrites(SCARCE_CONNECTIONS)
        val rejected = group.members.sumOf { it.rejectedOpenings }
        expectThat(rejected).isLessThan(opened - rejected)
    }

    @Test
    fun `attempts to connect to a full member stay in proportion to the work`() {
        playLoad()
        expectThat(group.members.sumOf { it.opened }).isGreaterThan(VMS)
        expectThat(group.members.sumOf { it.opened }).isLessThan(4 * replies.size)
    }

    private companion object {
        const val VMS = 30
        const val CONNECTIONS = 20
        const val SCARCE_CONNECTIONS = 8
        const val ROUNDS = 10
        const val SEED = 19L
        const val RANDOM_STATEMENTS = 1_000
        val STEP = 25.milliseconds
        val TARGET = 400.milliseconds
    }
}
