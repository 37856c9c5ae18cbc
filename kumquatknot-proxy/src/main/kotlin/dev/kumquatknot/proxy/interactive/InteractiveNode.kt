package dev.kumquatknot.proxy.interactive

import dev.kumquatknot.core.customer.CallerKey
import dev.kumquatknot.core.customer.ConfigurationFreshness
import dev.kumquatknot.core.identity.DataCentre
import dev.kumquatknot.core.identity.DatabaseName
import dev.kumquatknot.core.identity.Region
import dev.kumquatknot.core.interactive.DiscoveredMember
import dev.kumquatknot.core.interactive.InteractiveConfiguration
import dev.kumquatknot.core.interactive.InteractiveRoute
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
 */
public class InteractiveNode(
    private val place: VmPlace,
    ports: InteractivePorts,
    limits: InteractiveLimits = InteractiveLimits(),
    private val freshness: ConfigurationFreshness = ConfigurationFreshness.UNBOUNDED,
) {
    private val environment = NodeEnvironment(ports.clock, ports.schedule, ports.openLink, ports.events, limits)
    private val groups = LinkedHashMap<DatabaseName, GroupPools>()
    private val poller = GroupPoller(environment)
    private val sessions = LinkedHashSet<InteractiveSession>()
    private val waitingOpenings = LinkedHashSet<WaitingOpening>()
    private val services = SessionServices(
        environment = environment,
        route = { configuration.routes[it] },
        admission = ::admission,
        executor = LocalExecutor(::group, environment, { call, done -> limiter.admit(call, done) }),
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

    /** Number of VMs that use the members, this one included; 0 while it is unknown. */
    public var fleetSize: Int = 0

    /** Decides which operations are within the limits of their customers. */
    internal var limiter: OperationLimiter = OperationLimiter.UNLIMITED
        set(value) {
            field = value
            value.configure(configuration.customers)
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
        limiter.configure(next.customers)
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
     * Opens a session on [database] for the caller with [key] at [peer]; [done] is called once. A node that has just started
     * waits for its first configuration, since the databases are unknown until then.
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
        connections = { ConnectionBudget(configuration.connections[name] ?: 0, fleetSize) },
        onPrimaryUnknown = { poller.poll(it, decidesFailovers) },
    )

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
}
