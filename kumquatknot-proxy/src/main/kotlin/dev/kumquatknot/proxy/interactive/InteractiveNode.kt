package dev.kumquatknot.proxy.interactive

import dev.kumquatknot.core.customer.CallerKey
import dev.kumquatknot.core.customer.CustomerName
import dev.kumquatknot.core.identity.DataCentre
import dev.kumquatknot.core.identity.DatabaseName
import dev.kumquatknot.core.identity.Region
import dev.kumquatknot.core.interactive.DiscoveredMember
import dev.kumquatknot.core.interactive.InteractiveConfiguration
import dev.kumquatknot.core.interactive.MemberHistory
import dev.kumquatknot.core.interactive.RejectionCode
import dev.kumquatknot.core.platform.StoreEra
import dev.kumquatknot.core.time.Clock
import dev.kumquatknot.proxy.event.Event
import dev.kumquatknot.proxy.event.EventLog
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
 */
public class InteractivePorts(
    public val clock: Clock,
    public val schedule: Schedule,
    public val openLink: OpenMemberLink,
    public val events: EventLog,
    public val metrics: InteractiveMetrics = InteractiveMetrics(),
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
 * @param isHome whether this VM is a home VM of a group, which polls the group's members also while it does not use
 * them.
 */
public class InteractiveNode(
    private val place: VmPlace,
    ports: InteractivePorts,
    limits: InteractiveLimits = InteractiveLimits(),
    isHome: (DatabaseName) -> Boolean = { true },
) {
    private val openLink = ports.openLink
    private val environment =
        NodeEnvironment(ports.clock, ports.schedule, ::openLink, ports.events, limits, ports.metrics)
    private val groups = LinkedHashMap<DatabaseName, GroupPools>()
    private val poller = GroupPoller(environment, isHome, onFailure = { pollTimer.wake() })
    private val maintenanceTimer = RestingTimer(environment, limits.maintenanceInterval) { maintain() }
    private val pollTimer: RestingTimer = RestingTimer(environment, limits.pollInterval) { pollMembers() }
    private val sessions = LinkedHashSet<InteractiveSession>()
    private val waitingOpenings = LinkedHashSet<WaitingOpening>()
    private val services = SessionServices(
        environment = environment,
        route = { configuration.routes[it] },
        admission = { route, key -> CallerAdmission.of(configuration.customers, route, key) },
        executor = LocalExecutor(::group, environment, OperationLimiter.UNLIMITED),
        transactionIdle = { configuration.transactionIdle },
        onAnswer = StatementRecorder(environment, ports.metrics)::record,
        onReply = { if (closing && it.isIdle) it.close() },
        onEnd = { sessions.remove(it) },
    )
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
        next.connections.keys.forEach(::group)
        distributeMembers()
        wakeTimers()
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
        connections = { ConnectionBudget(configuration.connections[name] ?: 0, fleetSize) },
        listener = object : GroupListener {
            override fun changed() = wakeTimers()

            override fun primaryUnknown(group: GroupPools) {
                poller.poll(group, decidesFailovers)
                pollTimer.wake()
            }
        },
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

    private fun distributeMembers() {
        val known = members ?: return
        val byGroup = known.groupBy { it.group }
        groups.forEach { (name, group) -> group.updateMembers(byGroup[name].orEmpty(), membersEra) }
    }

    private fun isRemote(member: DiscoveredMember): Boolean =
        place.regions[member.dataCentre] != place.regions[place.dataCentre]

    private class WaitingOpening(val open: () -> Unit)
}
