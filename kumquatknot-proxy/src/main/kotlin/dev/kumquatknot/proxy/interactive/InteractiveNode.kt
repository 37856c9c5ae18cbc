package dev.kumquatknot.proxy.interactive

import dev.kumquatknot.core.balancing.MemberChoice
import dev.kumquatknot.core.customer.CallerKey
import dev.kumquatknot.core.customer.ConfigurationFreshness
import dev.kumquatknot.core.customer.CustomerName
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
import dev.kumquatknot.proxy.metric.InteractiveMetrics
import dev.kumquatknot.proxy.metric.OpeningReason
import dev.kumquatknot.proxy.pool.ConnectionBudget
import dev.kumquatknot.proxy.pool.PoolRole
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
    private val freshness: ConfigurationFreshness = ConfigurationFreshness.UNBOUNDED,
) {
    private val openLink = ports.openLink
    private val environment =
        NodeEnvironment(ports.clock, ports.schedule, ::openLink, ports.events, limits, ports.metrics)
    private val groups = LinkedHashMap<DatabaseName, GroupPools>()
    private val poller = GroupPoller(environment, ::isHomeOfAnyRegion, onFailure = { pollTimer.wake() })
    private val maintenanceTimer = RestingTimer(environment, limits.maintenanceInterval) { maintain() }
    private val pollTimer: RestingTimer = RestingTimer(environment, limits.pollInterval) { pollMembers() }
    private val sessions = LinkedHashSet<InteractiveSession>()
    private val waitingOpenings = LinkedHashSet<WaitingOpening>()
    private val homes = HomeVms(fleet, place.regions::get)
    private val placement = OperationPlacement(homes, place.dataCentre)
    private val services = SessionServices(
        environment = environment,
        route = { configuration.routes[it] },
        admission = ::admission,
        executor = { executor },
        transactionIdle = { configuration.transactionIdle },
        isInterrupted = { isInterrupted },
        onAnswer = StatementRecorder(environment, ports.metrics)::record,
        onReply = { if (closing && it.isIdle) it.close() },
        onEnd = { sessions.remove(it) },
    )
    private var links: FleetLinks? = null
    private var members: List<DiscoveredMember>? = null
    private var membersEra = StoreEra.UNKNOWN
    private var closing = false
    private var isInterrupted = false

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

    internal val metrics: InteractiveMetrics = ports.metrics

    /** Runs the operations of sessions, on this VM unless another executor is set. */
    internal var executor: OperationExecutor =
        LocalExecutor(::group, environment, { call, done -> limiter.admit(call, done) })

    /** Whether this VM decides failovers; it then polls members more often and for more data. */
    public var decidesFailovers: Boolean = false
        set(value) {
            val hasChanged = value != field
            field = value
            if (hasChanged) wakeTimers()
        }

    /** Number of VMs that use the members, this one included; 0 while it is unknown. */
    public var fleetSize: Int = 0
        set(value) {
            field = value
            wakeTimers()
        }

    /** Decides which operations are within the limits of their customers. */
    internal var limiter: OperationLimiter = OperationLimiter.UNLIMITED
        set(value) {
            field = value
            value.configure(configuration.customers)
        }

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

    /** This VM's part in the use of [member]; without customers, all VMs use it alike. */
    private fun poolRole(member: DiscoveredMember): PoolRole = when {
        configuration.customers.isEmpty -> PoolRole.SHARED
        isHomeVm(member.group, member.dataCentre) -> PoolRole.HOME
        else -> PoolRole.GUEST
    }

    /** Whether this VM polls the members of [group] also while it does not use them. */
    private fun isHomeOfAnyRegion(group: DatabaseName): Boolean =
        configuration.customers.isEmpty || place.regions.keys.any { homes.isHome(group.value, it, environment.now()) }

    /** VMs of this VM's region that watch the store for all of the region, in order of preference. */
    internal fun feedSources(): List<VmName> =
        homes.live(FEED_SUBJECT, homes.region(place.dataCentre), environment.now()).take(FEED_SOURCES).map { it.name }

    /**
     * VMs that count for the limits of customers, in an order that all VMs agree on: the first of each region, so that
     * most tokens need no round trip between regions, and after them all others.
     */
    internal fun limiterVms(): List<VmName> {
        val now = environment.now()
        val regions = place.regions.values.distinct().sorted()
        val firsts = regions.mapNotNull { homes.live(LIMITER_SUBJECT, it, now).firstOrNull() }
        return (firsts + homes.live(LIMITER_SUBJECT, null, now)).map { it.name }.distinct()
    }

    /** Whether [vm] is in the region of this VM. */
    internal fun isInOwnRegion(vm: VmName): Boolean =
        fleet[vm]?.dataCentre?.let(place.regions::get) == place.regions[place.dataCentre]

    /** Position of this VM among those of its region that compete for the fleet's duties; 0 where nothing is shared. */
    public fun dutyRank(): Int {
        val self = homes.self ?: return 0
        if (configuration.customers.isEmpty) return 0
        val candidates = homes.live(DUTY_SUBJECT, homes.region(place.dataCentre), environment.now())
        return candidates.indexOfFirst { it.name == self }.coerceAtLeast(0)
    }

    /**
     * Returns where an operation on [route] runs now, and why; [isRead] is whether it is a read or a read-only
     * transaction.
     */
    public fun placeOperation(route: InteractiveRoute, isRead: Boolean): Placement {
        val operation = PlacedOperation(
            group = route.group,
            mayUseReplica = isRead && route.consistency != ReadConsistency.CURRENT,
            primaryDataCentre = groups[route.group]?.primaryPool?.member?.dataCentre,
        )
        return placement.place(operation, !configuration.customers.isEmpty, environment.now())
    }

    /** Starts the maintenance of pools and the polling of members. */
    public fun start() {
        maintenanceTimer.start()
        pollTimer.start()
    }

    /** Applies [next] if its number is higher than that of the current configuration. */
    public fun configure(next: InteractiveConfiguration) {
        if (next.number <= configuration.number) return
        val previous = configuration.number
        configuration = next
        limiter.configure(next.customers)
        next.connections.keys.forEach(::group)
        distributeMembers()
        wakeTimers()
        groups.values.forEach { it.updateCustomers(next.customers) }
        environment.events.log(
            Event.CONFIGURATION_ACCEPTED,
            "number" to next.number,
            "previous" to previous,
            "routes" to next.routes.size,
        )
        sessions.toList().forEach { it.closeIfKeyWithdrawn() }
        openWaitingSessions()
    }

    /** The store showed the configuration in force as it was [at]. */
    public fun configurationConfirmed(at: Duration): Unit = freshness.confirmed(at)

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

    /**
     * Rolls back the transactions that are still open, those that run a statement after its answer, and refuses new
     * operations.
     */
    public fun interruptTransactions() {
        isInterrupted = true
        sessions.toList().forEach { it.interruptTransaction() }
    }

    /** Closes all sessions after an answer to each of their statements. */
    public fun endSessions() {
        isInterrupted = true
        sessions.toList().forEach { it.end() }
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

    private fun admission(route: InteractiveRoute, key: CallerKey?): CallerAdmission =
        CallerAdmission.of(configuration.customers, route, key, freshness.isSufficient(environment.now()))

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
        listener = object : GroupListener {
            override fun changed() = wakeTimers()

            override fun primaryUnknown(group: GroupPools) {
                poller.poll(group, decidesFailovers)
                pollTimer.wake()
            }
        },
        choice = MemberChoice(ports.random),
        isBalanced = { isBalanced(connectionBudget(name)) },
        role = ::poolRole,
        synchronousReplicas = { configuration.synchronousReplicas[name] ?: 0 },
    )

    private fun openLink(member: DiscoveredMember, customer: CustomerName?, events: MemberLinkEvents): MemberLink {
        val reason = when {
            groups[member.group]?.isInUse == true -> OpeningReason.OPERATIONS
            decidesFailovers -> OpeningReason.FAILOVER
            else -> OpeningReason.REST
        }
        environment.metrics.connectionOpening(reason)
        return openLink.invoke(member, customer, events)
    }

    private fun wakeTimers() {
        maintenanceTimer.wake()
        pollTimer.wake()
    }

    /** Maintains the pools that need it and returns the time at which some of them need it again. */
    private fun maintain(): Duration {
        groups.values.forEach { it.maintainIfDue() }
        return if (groups.values.any { it.needsMaintenance }) environment.now() else Duration.INFINITE
    }

    /** Polls the members that are due and returns the time of the next due poll. */
    private fun pollMembers(): Duration {
        val due = groups.values.minOfOrNull { poller.poll(it, decidesFailovers) } ?: Duration.INFINITE
        // A poll may have begun to open a connection.
        if (groups.values.any { it.needsMaintenance }) maintenanceTimer.wake()
        return due
    }

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

    private class WaitingOpening(val open: () -> Unit)

    private companion object {
        /** VMs from which on reads are placed by estimates of load even without customers. */
        const val BALANCED_FLEET_SIZE = 16
        const val FEED_SUBJECT = "feeds"
        const val DUTY_SUBJECT = "duties"
        const val LIMITER_SUBJECT = "limits"

        /** With two, the others of the region need not watch the store when one of them is lost. */
        const val FEED_SOURCES = 2
    }
}
