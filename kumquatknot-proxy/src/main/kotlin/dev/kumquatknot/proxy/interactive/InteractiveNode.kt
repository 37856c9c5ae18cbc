package dev.kumquatknot.proxy.interactive

import dev.kumquatknot.core.identity.DataCentre
import dev.kumquatknot.core.identity.DatabaseName
import dev.kumquatknot.core.identity.Region
import dev.kumquatknot.core.interactive.DiscoveredMember
import dev.kumquatknot.core.interactive.InteractiveConfiguration
import dev.kumquatknot.core.interactive.RejectionCode
import dev.kumquatknot.core.time.Clock
import dev.kumquatknot.proxy.event.Event
import dev.kumquatknot.proxy.event.EventLog
import kotlin.time.Duration

/**
 * Where a VM is.
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

    /** It is not; [code] says why. */
    public data class Rejected(val code: RejectionCode, val detail: String) : SessionOpening
}

/**
 * Serves interactive sessions: keeps the configuration in force, the members that discovery names, and the sessions.
 *
 * All of it runs on one event loop, which calls it and which it schedules on; nothing in it blocks.
 */
public class InteractiveNode(
    private val place: VmPlace,
    ports: InteractivePorts,
    limits: InteractiveLimits = InteractiveLimits(),
) {
    private val environment = NodeEnvironment(ports.clock, ports.schedule, ports.openLink, ports.events, limits)
    private val groups = LinkedHashMap<DatabaseName, GroupLanes>()
    private val observer = GroupObserver(environment)
    private val sessions = LinkedHashSet<InteractiveSession>()
    private val waitingOpenings = LinkedHashSet<WaitingOpening>()
    private val services = SessionServices(
        environment = environment,
        route = { configuration.routes[it] },
        group = ::group,
        transactionIdle = { configuration.transactionIdle },
        onAnswer = StatementRecorder(environment, ports.metrics)::record,
        onReply = { if (closing && it.isIdle) it.close() },
        onEnd = { sessions.remove(it) },
    )
    private var members: List<DiscoveredMember>? = null
    private var closing = false

    /** The configuration in force. */
    public var configuration: InteractiveConfiguration = InteractiveConfiguration.NONE
        private set

    /** Whether the node knows what to serve and with what, and is not leaving. */
    public val isReady: Boolean get() = isInformed && !leaving

    /** Whether the node has begun to leave. */
    public var leaving: Boolean = false
        private set

    /** Number of open sessions. */
    public val openSessions: Int get() = sessions.size

    internal val groupLanes: Collection<GroupLanes> get() = groups.values

    internal val nodeEnvironment: NodeEnvironment get() = environment

    /** Whether this VM decides failovers, for which it needs to know more of the members. */
    public var decidesFailovers: Boolean = false

    /** Starts the periodic work. */
    public fun start() {
        repeatEvery(environment.limits.maintenance) { groups.values.forEach { it.maintain() } }
        repeatEvery(environment.limits.observation) { groups.values.forEach { observer.observe(it, decidesFailovers) } }
    }

    /** Puts [next] in force if its number is higher than that of the current one. */
    public fun configure(next: InteractiveConfiguration) {
        if (next.number <= configuration.number) return
        val previous = configuration.number
        configuration = next
        next.connections.keys.forEach(::group)
        spreadMembers()
        environment.events.log(
            Event.CONFIGURATION_ACCEPTED,
            "number" to next.number,
            "previous" to previous,
            "routes" to next.routes.size,
        )
        openWaiting()
    }

    /** Takes over the members that discovery names now. */
    public fun discovered(next: List<DiscoveredMember>) {
        members = next
        spreadMembers()
        openWaiting()
    }

    /**
     * Opens a session on [database] for the caller at [peer]; [done] is called once. A node that has just started waits
     * for its first configuration, without which it cannot tell which databases there are.
     */
    public fun open(database: String, peer: SessionPeer, done: (SessionOpening) -> Unit) {
        if (isInformed) return done(openNow(database, peer))
        val opening = WaitingOpening { done(openNow(database, peer)) }
        waitingOpenings += opening
        environment.schedule(environment.limits.firstConfiguration) {
            if (waitingOpenings.remove(opening)) {
                done(SessionOpening.Rejected(RejectionCode.BUSY, "this VM has no configuration yet"))
            }
        }
    }

    /** Takes this VM out of service; sessions go on. */
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

    private val isInformed: Boolean get() = configuration.number > 0 && members != null

    private fun openNow(database: String, peer: SessionPeer): SessionOpening {
        if (database !in configuration.routes) {
            return SessionOpening.Rejected(RejectionCode.UNKNOWN_DATABASE, "no database is called $database")
        }
        val session = InteractiveSession(database, peer, services)
        sessions += session
        return SessionOpening.Opened(session)
    }

    private fun openWaiting() {
        if (!isInformed) return
        waitingOpenings.toList().also { waitingOpenings.clear() }.forEach { it.open() }
    }

    private fun group(name: DatabaseName): GroupLanes = groups.getOrPut(name) {
        newGroup(name)
            .also { it.discovered(members.orEmpty().filter { member -> member.group == name }) }
    }

    private fun newGroup(name: DatabaseName) = GroupLanes(
        group = name,
        environment = environment,
        isRemote = ::isRemote,
        connections = { configuration.connections[name] ?: 0 },
        onPrimaryUnknown = { observer.observe(it, decidesFailovers) },
    )

    private fun spreadMembers() {
        val known = members ?: return
        val byGroup = known.groupBy { it.group }
        groups.forEach { (name, group) -> group.discovered(byGroup[name].orEmpty()) }
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
