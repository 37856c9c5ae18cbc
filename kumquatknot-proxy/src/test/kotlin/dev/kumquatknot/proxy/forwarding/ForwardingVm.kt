package dev.kumquatknot.proxy.forwarding

import dev.kumquatknot.core.configuration.Rank
import dev.kumquatknot.core.customer.CallerKey
import dev.kumquatknot.core.customer.Customer
import dev.kumquatknot.core.customer.CustomerDirectory
import dev.kumquatknot.core.customer.CustomerName
import dev.kumquatknot.core.identity.RequestId
import dev.kumquatknot.core.identity.VmName
import dev.kumquatknot.core.interactive.InteractiveConfiguration
import dev.kumquatknot.core.interactive.InteractiveRoute
import dev.kumquatknot.core.interactive.ReadConsistency
import dev.kumquatknot.core.interactive.RejectionCode
import dev.kumquatknot.core.interactive.SessionReply
import dev.kumquatknot.core.interactive.SessionStatement
import dev.kumquatknot.core.interactive.StatementAccess
import dev.kumquatknot.core.interactive.StatementResult
import dev.kumquatknot.core.platform.StoreEra
import dev.kumquatknot.proxy.event.EventLog
import dev.kumquatknot.proxy.interactive.CallerAdmission
import dev.kumquatknot.proxy.interactive.Cancel
import dev.kumquatknot.proxy.interactive.FakeGroup
import dev.kumquatknot.proxy.interactive.GroupListener
import dev.kumquatknot.proxy.interactive.GroupPoller
import dev.kumquatknot.proxy.interactive.GroupPools
import dev.kumquatknot.proxy.interactive.InteractiveLimits
import dev.kumquatknot.proxy.interactive.InteractiveSession
import dev.kumquatknot.proxy.interactive.LocalExecutor
import dev.kumquatknot.proxy.interactive.NodeEnvironment
import dev.kumquatknot.proxy.interactive.OperationExecutor
import dev.kumquatknot.proxy.interactive.OperationLimiter
import dev.kumquatknot.proxy.interactive.RoutingDetails
import dev.kumquatknot.proxy.interactive.SessionPeer
import dev.kumquatknot.proxy.interactive.SessionServices
import dev.kumquatknot.proxy.interactive.SessionTransaction
import dev.kumquatknot.proxy.interactive.StatementCall
import dev.kumquatknot.proxy.interactive.StatementOutcome
import dev.kumquatknot.proxy.interactive.VirtualLoop
import dev.kumquatknot.proxy.pool.ConnectionBudget
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A VM of a [FakeFleet] with its own connections to the members of a [FakeGroup]. */
internal class ForwardingVm(
    name: String,
    private val loop: VirtualLoop,
    private val group: FakeGroup,
    fleet: FakeFleet,
    firstNumber: Long = 1,
) {
    val name = VmName(name)
    var configuration = CONFIGURATION
    var takesOperations = true

    /** VMs at which this one runs operations, the best first. */
    var homes = emptyList<VmName>()
    val failing = ArrayList<VmName>()
    val answering = ArrayList<VmName>()
    val asked = ArrayList<OperationTraits>()

    /** Calls that this VM ran by itself, for its own callers or for other VMs. */
    val served = ArrayList<StatementCall>()

    /** Requests whose answers by this VM are larger than a message between VMs may be. */
    val enlarged = HashSet<String>()
    val details = HashMap<String, RoutingDetails>()
    private val environment =
        NodeEnvironment(loop, loop::schedule, group::open, EventLog(), InteractiveLimits())
    private val poller = GroupPoller(environment, isHome = { true }, onFailure = {})
    private val pools = GroupPools(
        group = FakeGroup.NAME,
        environment = environment,
        isRemote = { false },
        connections = { ConnectionBudget(configuration.connections.getValue(FakeGroup.NAME), VMS) },
        listener = object : GroupListener {
            override fun changed() = Unit

            override fun primaryUnknown(group: GroupPools) {
                poller.poll(group, false)
            }
        },
    )
    private val local = RecordingExecutor(LocalExecutor({ pools }, environment, OperationLimiter.UNLIMITED))
    private val endpoint = fleet.endpoint(this.name)
    val server = ForwardingServer(
        executor = local,
        network = endpoint,
        environment = environment,
        configuration = { configuration },
        takesOperations = { takesOperations },
        dropLink = endpoint::drop,
    )
    private val executor = ForwardingExecutor(
        local = local,
        network = endpoint,
        environment = environment,
        place = { traits -> homes.also { asked += traits } },
        firstNumber = firstNumber,
        dropLink = endpoint::drop,
        onFailing = { failing += it },
        onAnswering = { answering += it },
    )

    init {
        endpoint.addListener(executor)
        endpoint.addListener(server)
        pools.updateMembers(group.discovered(), StoreEra.UNKNOWN)
        maintain()
        poll()
    }

    private fun maintain() {
        pools.maintainIfDue()
        loop.schedule(environment.limits.maintenanceInterval, ::maintain)
    }

    private fun poll() {
        poller.poll(pools, false)
        loop.schedule(environment.limits.pollInterval, ::poll)
    }

    val servedRequests get() = served.map { it.request.value }

    inner class Caller(database: String, customer: String? = CUSTOMER) : SessionPeer {
        val replies = ArrayList<SessionReply>()
        val codes get() = replies.map { (it.result as? StatementResult.Rejected)?.code }
        private val services = SessionServices(
            environment = environment,
            route = { ROUTES[it] },
            admission = { _, _ -> CallerAdmission.Admitted(customer?.let(::CustomerName)) },
            executor = { executor },
            transactionIdle = { Duration.INFINITE },
            isInterrupted = { false },
            onAnswer = { call, _, facts -> details[call.request.value] = facts },
            onReply = {},
            onEnd = {},
        )
        val session = InteractiveSession(database, null, this, services)

        override fun reply(reply: SessionReply) {
            replies += reply
        }

        override fun close() = Unit

        fun send(request: String, statement: SessionStatement) = session.submit(RequestId(request), statement)

        fun sendRead(request: String) = send(request, SessionStatement.Run(StatementAccess.READ, "READ 1"))

        fun sendWrite(request: String) = send(request, SessionStatement.Run(StatementAccess.WRITE, "WRITE 1 x"))

        fun sendBegin(readOnly: Boolean = false) = send("begin", SessionStatement.Begin(readOnly))

        fun sendCommit(request: String) = send(request, SessionStatement.Commit("COMMIT"))

        /** Sends a statement, waits for its reply and returns the code of its rejection, or null if it succeeded. */
        fun ask(send: () -> Unit): RejectionCode? {
            val before = replies.size
            send()
            repeat(MAXIMUM_STEPS) { if (replies.size == before) loop.advance(STEP) }
            check(replies.size == before + 1) { "no reply" }
            return codes.last()
        }
    }

    private inner class RecordingExecutor(private val executor: OperationExecutor) : OperationExecutor {
        override fun run(call: StatementCall, done: (StatementOutcome) -> Unit): Cancel {
            served += call
            return executor.run(call) { done(it.copy(reply = enlarge(call, it.reply))) }
        }

        override fun begin(route: InteractiveRoute, readOnly: Boolean): SessionTransaction {
            val transaction = executor.begin(route, readOnly)
            return object : SessionTransaction by transaction {
                override fun run(call: StatementCall, done: (SessionReply) -> Unit) {
                    served += call
                    transaction.run(call) { done(enlarge(call, it)) }
                }
            }
        }

        private fun enlarge(call: StatementCall, reply: SessionReply) =
            if (call.request.value in enlarged) {
                reply.copy(rows = listOf("x".repeat(PeerCodec.MAXIMUM_BYTES)))
            } else {
                reply
            }
    }

    companion object {
        const val CUSTOMER = "mendoza"
        private const val VMS = 3
        private const val MAXIMUM_STEPS = 1_000
        private val STEP = 5.milliseconds

        private fun route(name: String, consistency: ReadConsistency, timeout: Duration = 1_500.milliseconds) =
            InteractiveRoute(
                name = name,
                group = FakeGroup.NAME,
                consistency = consistency,
                statementTimeout = timeout,
                target = 500.milliseconds,
                rank = Rank.URGENT,
                maximumStaleness = 1_500.milliseconds,
            )

        val ROUTES = listOf(
            route("current", ReadConsistency.CURRENT),
            route("bounded", ReadConsistency.BOUNDED_STALENESS),
            route("short", ReadConsistency.CURRENT, timeout = 300.milliseconds),
            route("open", ReadConsistency.CURRENT).copy(isPublic = true),
        ).associateBy { it.name }

        val CONFIGURATION = InteractiveConfiguration(
            number = 1,
            routes = ROUTES,
            connections = mapOf(FakeGroup.NAME to 30),
            transactionIdle = 3.seconds,
            customers = CustomerDirectory(
                listOf(Customer(CustomerName(CUSTOMER), setOf(CallerKey("key")), limit = null)),
            ),
        )
    }
}
