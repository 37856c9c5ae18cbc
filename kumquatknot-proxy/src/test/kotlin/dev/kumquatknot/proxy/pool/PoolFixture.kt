package dev.kumquatknot.proxy.pool

import dev.kumquatknot.core.admission.WorkItem
import dev.kumquatknot.core.configuration.Rank
import dev.kumquatknot.core.customer.CustomerName
import dev.kumquatknot.core.history.HistoryPoint
import dev.kumquatknot.core.identity.KindName
import dev.kumquatknot.core.identity.RequestId
import dev.kumquatknot.core.identity.TeamName
import dev.kumquatknot.core.interactive.MemberCommand
import dev.kumquatknot.core.interactive.MemberReply
import dev.kumquatknot.proxy.event.EventLog
import dev.kumquatknot.proxy.interactive.FakeGroup
import dev.kumquatknot.proxy.interactive.VirtualLoop
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A pool for one member in memory, and requests to it. */
internal class PoolFixture(maximum: Int = 20, vms: Int = 2, var role: PoolRole = PoolRole.HOME) {
    val loop = VirtualLoop()
    val group = FakeGroup(loop)
    val member = group.members[0].apply {
        connectionLimit = maximum
        slots = SLOTS
    }
    val environment = NodeEnvironment(loop, loop::schedule, group::open, EventLog(), InteractiveLimits())
    val pool = MemberPool(
        member.discovered(leaving = false),
        environment,
        { ConnectionBudget(maximum, vms) },
        { pool, _, _, reply -> reply.report?.let { pool.updateConnectionCount(it.connections) } },
    ) { role }
    private var lastId = 0

    /** Starts a statement, which keeps its slot and connection until [Use.end]. */
    fun use(
        customer: String?,
        timeout: Duration = 1.seconds,
    ): Use = Use(customer, timeout).also { pool.submit(it.request) }

    /** Runs a statement of [customer] to its end. */
    fun runOnce(customer: String?) {
        val use = use(customer)
        loop.advance(50.milliseconds)
        use.end()
        loop.advance(1.milliseconds)
    }

    /** Opens [count] connections of other VMs to the member. */
    fun openOthers(count: Int) = repeat(count) {
        val events = object : MemberLinkEvents {
            override fun opened(point: HistoryPoint?) = Unit

            override fun replied(reply: MemberReply) = Unit

            override fun closed(end: LinkEnd) = Unit
        }
        group.open(member.discovered(leaving = false), null, events)
    }

    /** Lets the pool read the member's count. */
    fun report() = pool.acquireLink { link ->
        link?.run(listOf(MemberCommand.Report), 1.seconds) { pool.releaseLink(link) }
    }

    /** Maintains the pool for [time]. */
    fun maintain(time: Duration) {
        val until = loop.elapsed() + time
        while (loop.elapsed() < until) {
            pool.maintain()
            loop.advance(50.milliseconds)
        }
    }

    inner class Use(customer: String?, timeout: Duration) {
        var link: PooledLink? = null
        var refusal: PoolRefusal? = null
        private var slot: PoolSlot? = null
        private val name = customer?.let { CustomerName(it) }
        val isWaiting get() = link == null && refusal == null
        val request = PoolRequest(
            item = WorkItem(
                RequestId("r${lastId++}"),
                TeamName(customer ?: "group"),
                KindName("booking"),
                Rank.URGENT,
                floorPercent = 0,
                target = timeout / 2,
                deadline = loop.elapsed() + timeout,
            ),
            customer = name,
            granted = { given, granted ->
                link = given
                slot = granted
            },
            refused = { refusal = it },
        )

        /** Releases the slot only, as a transaction does. */
        fun leaveSlot() = slot?.release(ran = false, answered = true)

        fun end() {
            slot?.release(ran = true, answered = true)
            link?.let { pool.releaseLink(it) }
        }
    }

    companion object {
        const val SLOTS = 4
    }
}
