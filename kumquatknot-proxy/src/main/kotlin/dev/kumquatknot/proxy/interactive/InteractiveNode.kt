package dev.kumquatknot.proxy.interactive

import dev.kumquatknot.core.balancing.MemberChoice
import dev.kumquatknot.core.customer.CallerKey
import dev.kumquatknot.core.fleet.FleetView
import dev.kumquatknot.core.fleet.FleetVm
import dev.kumquatknot.core.fleet.HomeVms
import dev.kumquatknot.core.fleet.OperationPlacement
import dev.kumquatknot.core.fleet.PlacedOperation
import dev.kumquatknot.core.fleet.Placement
import dev.kumquatknot.core.identity.DataCentre
import dev.kumquatknot.core.identity.DatabaseName
import dev.kumquatknot.core.identity.Region
import dev.kumquatknot.core.identity.VmName
import dev.kumquatknot.core.interactive.DiscoveredMember
import dev.kumquatknot.core.interactive.InteractiveConfiguration
import dev.kumquatknot.core.interactive.InteractiveRoute
import dev.kumquatknot.core.interactive.MemberHistory
import dev.kumquatknot.core.interactive.ReadConsistency
import dev.kumquatknot.core.interactive.RejectionCode
import dev.kumquatknot.core.platform.StoreEra
import dev.kumquatknot.core.time.Clock
import dev.kumquatknot.proxy.event.Event
import dev.kumquatknot.proxy.event.EventLog
import dev.kumquatknot.proxy.fleet.FleetLinks
import dev.kumquatknot.proxy.fleet.LoadReportPayload
import dev.kumquatknot.proxy.fleet.PeerNetwork
import kotlin.random.Random
import kotlin.time.Duration

/**
 * Location of a VM.
 *
 * @property regions region of each data centre.
 */
public data class VmPlace(val dataCentre: DataCentre, val regions: Map<DataCentre, Region>)

/**
 * Ports of an [InteractiveNode].
 *
 * @property schedule runs tasks on the event loop that calls the node.
 * @property random returns a number from 0 until 1, for choices by load.
 */
public class InteractivePorts(
    public val clock: Clock,
    public val schedule: Schedule,
    public val openLink: OpenMemberLink,
    public val events: EventLog,
    public val metrics: InteractiveMetrics = InteractiveMetrics(),
    public val random: () -> Double = Random::nextDouble,
)

/**
 * Returns where an operation on a route runs now, and why; `isRead` is whether it is a read or a read-only transaction.
 */
public typealias PlaceOperation = (route: InteractiveRoute, isRead: Boolean) -> Placement

/** Result of opening a session. */
public sealed interface SessionOpening {
    /** The session is open. */
    public data class Opened(val session: InteractiveSession) : SessionOpening

    /** The session was rejected with [code]. */
    public data class Rejected(val code: RejectionCode, val detail: String) : SessionOpening
}

/**
 * Serves interactive sessions: holds the configuration in force, the discovered members and the open sessions.
 *
 * All calls and scheduled tasks run on one event loop and must not block.
 *
 * @property fleet the VMs of the deployment as this one knows them; by default, this VM exchanges nothing with others.
 */
public class InteractiveNode(
    private val place: VmPlace,
    private val ports: InteractivePorts,
    limits: InteractiveLimits = InteractiveLimits(),
    public val fleet: FleetView = FleetView(),
) {
    private val environment = NodeEnvironment(ports.clock, ports.schedule, ports.openLink, ports.events, limits)
    private val groups = LinkedHashMap<DatabaseName, GroupPools>()
    private val poller = GroupPoller(environment)
    private val sessions = LinkedHashSet<InteractiveSession>()
    private val waitingOpenings = LinkedHashSet<WaitingOpening>()
    private val homes = HomeVms(fleet, place.regions::get)
    private val placement = OperationPlacement(homes, place.dataCentre)
    private val services by lazy {
        SessionServices(
            environment = environment,
            route = { configuration.routes[it] },
            admission = { route, key -> CallerAdmission.of(configuration.customers, route, key) },
            executor = executor,
            transactionIdle = { configuration.transactionIdle },
            onAnswer = StatementRecorder(environment, ports.metrics)::record,
            onReply = { if (closing && it.isIdle) it.close() },
            onEnd = { sessions.remove(it) },
        )
    }
    private var links: FleetLinks? = null
    private var members: List<DiscoveredMember>? = null
    private var membersEra = StoreEra.UNKNOWN
    private var closing = false

    /** The configuration in force. */
    public var configuration: InteractiveConfiguration = InteractiveConfiguration.NONE
        private set

    /** Whether the node has a configuration and discovered members and is not leaving. */
    public val isReady: Boolean get() = isInitialized && !leaving

    /** Whether the node has begun to leave. */
    public var leaving: Boolean = false
        private set

    /** Number of open sessions. */
    public val openSessions: Int get() = sessions.size

    internal val groupPools: Collection<GroupPools> get() = groups.values

    internal val nodeEnvironment: NodeEnvironment get() = environment

    /** Runs the operations of sessions, on this VM unless another one is set before the first session is opened. */
    internal var executor: OperationExecutor = LocalExecutor(::group, environment, OperationLimiter.UNLIMITED)

    /** Whether this VM decides failovers; it then polls members more often and for more data. */
    public var decidesFailovers: Boolean = false

    /** Number of VMs that use the members, this one included; 0 while it is unknown. */
    public var fleetSize: Int = 0

    /** Applies the registered VMs that the store has [listed]. */
    public fun updateFleet(listed: List<FleetVm>) {
        fleet.update(listed)
        fleetSize = listed.size
    }

    /**
     * Observes the links of [network] to other VMs from now on; [onUnknownRun] is called when a VM connects that is not
     * in the last list.
     */
    internal fun connectPeers(network: PeerNetwork, onUnknownRun: () -> Unit) {
        links = FleetLinks(fleet, network, environment.clock, ::recordLoadReport, onUnknownRun)
            .also(network::addListener)
    }

    private fun recordLoadReport(vm: VmName, report: LoadReportPayload) =
        groups.values.forEach { it.recordLoadReport(vm, report) }

    /**
     * Whether operations on [group] of the region of [dataCentre] are forwarded to this VM; no VM is home VM where the
     * configuration has no customers.
     */
    public fun isHomeVm(group: DatabaseName, dataCentre: DataCentre): Boolean =
        !configuration.customers.isEmpty && homes.isHome(group.value, dataCentre, environment.now())

    /** Decides as a [PlaceOperation]. */
    public fun placeOperation(route: InteractiveRoute, isRead: Boolean): Placement {
        val operation = PlacedOperation(
            group = route.group,
            mayUseReplica = isRead && route.consistency != ReadConsistency.CURRENT,
            primaryDataCentre = groups[route.group]?.primaryPool?.member?.dataCentre,
        )
        return placement.place(operation, !configuration.customers.isEmpty, environment.now())
    }

    /** Starts the periodic maintenance of pools and polling of members. */
    public fun start() {
        repeatEvery(environment.limits.maintenanceInterval) { groups.values.forEach { it.maintain() } }
        repeatEvery(environment.limits.pollInterval) { groups.values.forEach { poller.poll(it, decidesFailovers) } }
    }

    /** Applies [next] if its number is higher than that of the current configuration. */
    public fun configure(next: InteractiveConfiguration) {
        if (next.number <= configuration.number) return
        val previous = configuration.number
        configuration = next
        next.connections.keys.forEach(::group)
        distributeMembers()
        environment.events.log(
            Event.CONFIGURATION_ACCEPTED,
            "number" to next.number,
            "previous" to previous,
            "routes" to next.routes.size,
        )
        sessions.toList().forEach { it.closeIfKeyWithdrawn() }
        openWaitingSessions()
    }

    /** Replaces the discovered members with [next], which the store listed in [era]. */
    public fun updateMembers(next: List<DiscoveredMember>, era: StoreEra = StoreEra.UNKNOWN) {
        if (members != null && era > membersEra) {
            environment.schedule(MemberHistory.RESTORED_ENTRY_LIFETIME + environment.limits.pollInterval) {
                distributeMembers()
            }
        }
        members = next
        membersEra = era
        distributeMembers()
        openWaitingSessions()
    }

    /**
     * Opens a session on [database] for the caller with [key] at [peer]; [done] is called once. A node that has just
     * started waits for its first configuration, since the databases are unknown until then.
     */
    public fun open(database: String, key: CallerKey?, peer: SessionPeer, done: (SessionOpening) -> Unit) {
        if (isInitialized) return done(openNow(database, key, peer))
        val opening = WaitingOpening { done(openNow(database, key, peer)) }
        waitingOpenings += opening
        environment.schedule(environment.limits.firstConfigurationTimeout) {
            if (waitingOpenings.remove(opening)) {
                done(SessionOpening.Rejected(RejectionCode.BUSY, "this VM has no configuration yet"))
            }
        }
    }

    /** Makes this VM report not ready; open sessions continue. */
    public fun leave() {
        leaving = true
        links?.announceLeaving() ?: fleet.leave()
    }

    /** Closes idle sessions now and the others as soon as they are idle. */
    public fun closeIdleSessions() {
        closing = true
        sessions.toList().filter { it.isIdle }.forEach { it.close() }
    }

    /** Rolls back the transactions that are still open. */
    public fun interruptTransactions() {
        sessions.toList().filter { !it.isServing }.forEach { it.interruptTransaction() }
    }

    private val isInitialized: Boolean get() = configuration.number > 0 && members != null

    private fun openNow(database: String, key: CallerKey?, peer: SessionPeer): SessionOpening {
        val route = configuration.routes[database]
            ?: return SessionOpening.Rejected(RejectionCode.UNKNOWN_DATABASE, "no database is called $database")
        if (CallerAdmission.of(configuration.customers, route, key) is CallerAdmission.UnknownKey) {
            return SessionOpening.Rejected(RejectionCode.UNAUTHENTICATED, "the key is not known")
        }
        val session = InteractiveSession(database, key, peer, services)
        sessions += session
        return SessionOpening.Opened(session)
    }

    private fun openWaitingSessions() {
        if (!isInitialized) return
        waitingOpenings.toList().also { waitingOpenings.clear() }.forEach { it.open() }
    }

    private fun group(name: DatabaseName): GroupPools = groups.getOrPut(name) {
        newGroup(name)
            .also { it.updateMembers(members.orEmpty().filter { member -> member.group == name }, membersEra) }
    }

    private fun newGroup(name: DatabaseName) = GroupPools(
        group = name,
        environment = environment,
        isRemote = ::isRemote,
        connections = { connectionBudget(name) },
        onPrimaryUnknown = { poller.poll(it, decidesFailovers) },
        choice = MemberChoice(ports.random),
        isBalanced = { isBalanced(connectionBudget(name)) },
    )

    private fun connectionBudget(group: DatabaseName) =
        ConnectionBudget(configuration.connections[group] ?: 0, fleetSize)

    /** With few VMs, each knows most of a member's load from its own queue; without a connection, it learns nothing. */
    private fun isBalanced(budget: ConnectionBudget): Boolean =
        !configuration.customers.isEmpty || fleetSize >= BALANCED_FLEET_SIZE && !budget.isShort

    private fun distributeMembers() {
        val known = members ?: return
        val byGroup = known.groupBy { it.group }
        groups.forEach { (name, group) -> group.updateMembers(byGroup[name].orEmpty(), membersEra) }
    }

    private fun isRemote(member: DiscoveredMember): Boolean =
        place.regions[member.dataCentre] != place.regions[place.dataCentre]

    private fun repeatEvery(interval: Duration, task: () -> Unit) {
        environment.schedule(interval) {
            repeatEvery(interval, task)
            task()
        }
    }

    private class WaitingOpening(val open: () -> Unit)

    private companion object {
        /** VMs from which on reads are placed by estimates of load even without customers. */
        const val BALANCED_FLEET_SIZE = 16
    }
}
