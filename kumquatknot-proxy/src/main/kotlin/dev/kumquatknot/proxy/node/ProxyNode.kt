package dev.kumquatknot.proxy.node

import arrow.core.Either
import arrow.core.left
import dev.kumquatknot.core.admission.RetryBudget
import dev.kumquatknot.core.configuration.ConfigurationHolder
import dev.kumquatknot.core.configuration.DatabaseConfiguration
import dev.kumquatknot.core.configuration.FleetConfiguration
import dev.kumquatknot.core.configuration.MemberConfiguration
import dev.kumquatknot.core.databasegroup.GroupTiming
import dev.kumquatknot.core.databasegroup.GroupView
import dev.kumquatknot.core.databasegroup.MemberContactReport
import dev.kumquatknot.core.history.Term
import dev.kumquatknot.core.identity.DatabaseName
import dev.kumquatknot.core.identity.MemberName
import dev.kumquatknot.core.identity.VmName
import dev.kumquatknot.core.member.MemberPort
import dev.kumquatknot.core.membership.Membership
import dev.kumquatknot.core.membership.VmCondition
import dev.kumquatknot.core.membership.VmRecord
import dev.kumquatknot.core.outcome.Effect
import dev.kumquatknot.core.outcome.Failure
import dev.kumquatknot.core.outcome.FailureReason
import dev.kumquatknot.core.outcome.Peer
import dev.kumquatknot.core.outcome.Step
import dev.kumquatknot.core.request.CallerReply
import dev.kumquatknot.core.request.CallerRequest
import dev.kumquatknot.core.request.RequestFailure
import dev.kumquatknot.core.request.Work
import dev.kumquatknot.core.routing.Router
import dev.kumquatknot.proxy.distribution.ConfigurationUpdater
import dev.kumquatknot.proxy.entry.DataCentreLatency
import dev.kumquatknot.proxy.entry.EntryService
import dev.kumquatknot.proxy.entry.GroupCache
import dev.kumquatknot.proxy.entry.ReadPlanner
import dev.kumquatknot.proxy.entry.Relay
import dev.kumquatknot.proxy.entry.RetryPolicy
import dev.kumquatknot.proxy.event.Event
import dev.kumquatknot.proxy.group.GroupRunner
import dev.kumquatknot.proxy.group.GroupRunnerPorts
import dev.kumquatknot.proxy.group.GroupRunnerSettings
import dev.kumquatknot.proxy.group.GroupRunnerThreads
import dev.kumquatknot.proxy.membership.MembershipRunner
import dev.kumquatknot.proxy.peer.GossipMessage
import dev.kumquatknot.proxy.peer.MemberObservation
import dev.kumquatknot.proxy.peer.PeerConfiguration
import dev.kumquatknot.proxy.peer.PeerService
import dev.kumquatknot.proxy.peer.PrimaryRecord
import dev.kumquatknot.proxy.relay.MemberStatus
import dev.kumquatknot.proxy.relay.RelayReply
import dev.kumquatknot.proxy.relay.RelayRequest
import dev.kumquatknot.proxy.transaction.OpenTransaction
import dev.kumquatknot.proxy.transaction.TransactionExecution
import dev.kumquatknot.proxy.transaction.TransactionTable
import dev.kumquatknot.proxy.work.KeyedExecution
import dev.kumquatknot.proxy.work.ReadExecution
import dev.kumquatknot.proxy.work.WriteExecution
import org.apache.commons.rng.simple.RandomSource
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * A node of the proxy without its servers: it serves requests of callers by [handle] and calls of other nodes by
 * [peerService]. It maintains its view of the fleet, the configuration in force, the members that it serves and the
 * primaries of their groups.
 */
public class ProxyNode(private val identity: NodeIdentity, private val dependencies: NodeDependencies) {
    private val clock = dependencies.clock
    private val memberPorts = ConcurrentHashMap<MemberConfiguration, MemberPort>()
    private val threads = NodeThreads(identity.vm.value, dependencies.workers)
    private val holder = ConfigurationHolder()
    private val groups = GroupCache(clock)
    private val self =
        VmRecord(identity.vm, identity.dataCentre, identity.address, Membership.FIRST_INCARNATION, VmCondition.LIVE)
    private val membership = MembershipRunner(
        self = self,
        peers = dependencies.peers,
        clock = clock,
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(dependencies.seed),
        executor = threads.control,
        events = dependencies.events,
        configurationNumber = { holder.current.number },
    )
    private val hosts = MemberHosts(::memberPort, ::newRunner, clock, dependencies.events)
    private val transactions = TransactionTable(
        clock = clock,
        firstNumber = RandomSource.XO_RO_SHI_RO_128_PP.create(dependencies.seed).nextLong(1, Long.MAX_VALUE / 2),
        onExpired = ::logExpired,
    )
    private val keyed = KeyedExecution(clock)
    private val writes = WriteExecution(keyed)
    private val work = WorkService(
        hosts::find,
        ReadExecution(clock),
        writes,
        TransactionExecution(transactions, writes, keyed, clock),
        clock,
    )
    private val platform = PlatformWatcher(
        vm = identity.vm,
        store = dependencies.store,
        configuration = ConfigurationUpdater(holder, dependencies.store, dependencies.peers, dependencies.events) {
            applyFleetChanges()
        },
        events = dependencies.events,
        fleetSize = { membership.view.usable.size },
        onList = { list -> membership.mergeListedVms(list, memberNames()) },
    )
    private val entry: EntryService

    @Volatile
    private var gatewayAssignment = GatewayAssignment.none(self)

    @Volatile
    private var leaving = false

    init {
        val relay = Relay(
            self = identity.vm,
            gatewayOrder = { gatewayAssignment.gatewayCandidates(it) },
            serveLocally = ::executeLocally,
            peers = dependencies.peers,
            groups = groups,
            clock = clock,
            onVmUnreachable = { vm -> membership.reportUnresponsive(vm) },
        )
        entry = EntryService(
            configuration = { holder.current },
            relay = relay,
            planRead = newReadPlanner()::plan,
            findVm = { membership.view.record(it)?.takeIf { record -> record.condition != VmCondition.FAILED } },
            groups = groups,
            retries = RetryPolicy(groups, RetryBudget(), clock),
            clock = clock,
        )
        membership.onChange = { applyFleetChanges() }
        membership.onPrimary = ::acceptPrimary
        membership.onConfigurationNumber =
            { peer, _ -> threads.control.execute { platform.configuration.fetchFrom(peer) } }
    }

    /** Service for calls of other nodes. */
    public val peerService: PeerService = NodePeerService()

    /** The configuration in force, which is empty until one is known. */
    public val configuration: FleetConfiguration get() = holder.current

    /** Current view of the fleet. */
    public val fleet: Membership get() = membership.view

    /** Whether the node accepts new work: it has a configuration and is not leaving. */
    public val ready: Boolean get() = !leaving && holder.current.number > 0

    /** Number of interactive transactions whose connections this node holds. */
    public val openTransactions: Int get() = transactions.size

    /** Serves a request of a caller; blocks until its final outcome. */
    public fun handle(request: CallerRequest): Either<RequestFailure, CallerReply> = entry.handle(request)

    /** Returns the last known primary of [database] with its term, or null if none is known. */
    public fun primary(database: DatabaseName): PrimaryRecord? = groups.group(database).let { known ->
        known.primary?.let { PrimaryRecord(database, known.term, it) }
    }

    /** Returns the time since the last answer of a replaced primary of [database], for the record of a failover. */
    internal fun primarySilence(database: DatabaseName): Duration = hosts.longestSilence(database)

    /** Returns the names of the VMs that accept new work. */
    internal fun usableVms(): Set<VmName> = membership.view.usable.map { it.name }.toSet()

    /** Starts the node: reads the configuration, joins the fleet and starts serving members. */
    public fun start() {
        platform.readOnce()
        identity.seeds.forEach { membership.join(it, VmName(it)) }
        platform.start()
        scheduleEvery(MembershipRunner.PROBE_PERIOD) { membership.runPeriod() }
        scheduleEvery(MAINTENANCE_INTERVAL) {
            hosts.maintain()
            transactions.expire()
        }
        dependencies.events.log(Event.NODE_STARTED, "vm" to identity.vm.value, "configuration" to holder.current.number)
    }

    /** Announces to the fleet that this node accepts no new work; work in progress continues. */
    public fun leave() {
        leaving = true
        dependencies.events.log(Event.NODE_STOPPING, "vm" to identity.vm.value)
        membership.leave()
    }

    /** Waits at most [limit] until no interactive transaction is open; returns whether all have ended. */
    public fun awaitTransactions(limit: Duration): Boolean {
        val until = clock.elapsed() + limit
        while (transactions.size > 0 && clock.elapsed() < until) Thread.sleep(DRAIN_POLL_MILLIS)
        return transactions.size == 0
    }

    /** Closes all connections and stops all threads, also if requests are in flight. */
    public fun stop() {
        leaving = true
        platform.stop()
        hosts.close()
        threads.close()
        dependencies.events.log(Event.NODE_STOPPED, "vm" to identity.vm.value)
    }

    /** Executor for control calls of other nodes. */
    internal val controlExecutor get() = threads.control

    /** Executor for requests that other nodes relay. */
    internal val workExecutor get() = threads.work

    private fun newReadPlanner(): ReadPlanner {
        val random = RandomSource.XO_RO_SHI_RO_128_PP.create(dependencies.seed + 1)
        return ReadPlanner(
            router = Router({ random.nextDouble() }),
            latency = DataCentreLatency(identity.dataCentre) { holder.current.region(it) },
            groups = groups,
            leaving = { membership.view.leavingMembers },
            clock = clock,
        )
    }

    private fun executeLocally(request: RelayRequest): RelayReply = work.execute(request)

    private fun applyFleetChanges() {
        val configuration = holder.current
        val next = GatewayAssignment(configuration, membership.view)
        gatewayAssignment = next
        membership.view.records.values
            .filter { it.condition == VmCondition.FAILED }
            .forEach { dependencies.peers.disconnect(it.name) }
        hosts.applyConfiguration(configuration, next.membersOf(identity.vm))
        dependencies.metrics.configurationInForce(configuration.number)
    }

    private fun acceptPrimary(record: PrimaryRecord) {
        groups.recordPrimary(record)
        val view = GroupView(record.database, record.term, record.primary)
        hosts.runner(record.database)?.merge(view)
    }

    private fun newRunner(database: DatabaseConfiguration, ports: List<MemberPort>): GroupRunner {
        val runner = GroupRunner(
            database = database,
            ports = GroupRunnerPorts(
                members = ports,
                requestVantageReports = ::requestVantageReports,
                rank = { gatewayAssignment.coordinatorRank(database, identity.vm) },
                leaving = { membership.view.leavingMembers },
                publish = { view, reason ->
                    dependencies.onPromotion(view.database, view.term)
                    dependencies.events.log(
                        Event.PROMOTION_WON,
                        "database" to view.database.value,
                        "term" to view.term.value,
                        "primary" to view.primary?.value,
                        "reason" to reason.name,
                    )
                },
            ),
            settings = GroupRunnerSettings(
                vm = identity.vm,
                incarnation = dependencies.seed,
                timing = GroupTiming.forGroups(holder.current.databases.size.coerceAtMost(MAXIMUM_OBSERVED_GROUPS)),
            ),
            threads = GroupRunnerThreads(threads.timer, threads.control),
            clock = clock,
        )
        runner.addViewListener(::announce)
        membership.primary(database.name)?.let { runner.merge(GroupView(it.database, it.term, it.primary)) }
        return runner
    }

    private fun announce(view: GroupView) {
        val primary = view.primary ?: return
        val record = PrimaryRecord(view.database, view.term, primary)
        groups.recordPrimary(record)
        threads.control.execute {
            hosts.interruptSuperseded(view.database, primary)
            membership.announce(record)
        }
    }

    private fun requestVantageReports(database: DatabaseName, member: MemberName): List<MemberContactReport> {
        val configured = holder.current.database(database) ?: return emptyList()
        val gateways = configured.members.mapNotNull { gatewayAssignment.gateway(it) }
        val others = membership.view.usable.filter { it.dataCentre != identity.dataCentre }.take(REMOTE_VANTAGE_COUNT)
        val queried = (gateways + others).distinctBy { it.name }.filter { it.name != identity.vm }
        return queried.mapNotNull { peer ->
            dependencies.peers.memberObservation(peer, database, member, VANTAGE_TIMEOUT)
                .fold({ null }, { MemberContactReport(peer.name, it.sinceLastResponse) })
        }
    }

    /** Returns the client for [member], which is created once so that all uses share its control connection. */
    private fun memberPort(member: MemberConfiguration): MemberPort =
        memberPorts.computeIfAbsent(member) { dependencies.memberPorts(it) }

    private fun memberNames(): Set<MemberName> =
        holder.current.databases.flatMap { database -> database.members.map { it.name } }.toSet()

    private fun scheduleEvery(interval: Duration, task: () -> Unit) {
        threads.timer.scheduleWithFixedDelay(
            { threads.control.execute(task) },
            interval.inWholeMilliseconds,
            interval.inWholeMilliseconds,
            TimeUnit.MILLISECONDS,
        )
    }

    private fun logExpired(transaction: OpenTransaction) = dependencies.events.log(
        Event.TRANSACTION_ENDED,
        "transaction" to transaction.number,
        "team" to transaction.team.value,
        "database" to transaction.database.value,
    )

    private inner class NodePeerService : PeerService {
        override fun execute(request: RelayRequest): RelayReply =
            if (leaving && request.work.startsWork) request.refusedWhileLeaving() else executeLocally(request)

        override fun gossip(message: GossipMessage): GossipMessage = membership.receive(message)

        override fun probeIndirectly(name: VmName, address: String): Boolean {
            val target = self.copy(name = name, address = address)
            val probe = GossipMessage(membership.view.self, emptyList(), emptyList(), holder.current.number, false)
            return dependencies.peers.gossip(target, probe, INDIRECT_PROBE_TIMEOUT).isRight()
        }

        override fun configuration(known: Long): PeerConfiguration =
            PeerConfiguration(holder.current.takeIf { it.number > known }, dependencies.sessionKeys)

        override fun memberObservation(database: DatabaseName, member: MemberName): MemberObservation {
            val lastAnswerAge = hosts.runner(database)?.vantage(member)?.lastResponseAge
            if (lastAnswerAge != null) return MemberObservation(lastAnswerAge, Term(0))
            val configured = holder.current.database(database)?.members?.firstOrNull { it.name == member }
            val report = configured?.let { memberPort(it).report(VANTAGE_REPORT_TIMEOUT).getOrNull() }
            return MemberObservation(report?.let { Duration.ZERO }, report?.acceptedTerm ?: Term(0))
        }

        private val Work.startsWork: Boolean
            get() = this !is Work.Run && this !is Work.Commit && this !is Work.Rollback

        private fun RelayRequest.refusedWhileLeaving() = RelayReply(
            Failure(
                reason = FailureReason.SHUTTING_DOWN,
                effect = Effect.NOT_RUN,
                step = Step.SHUTDOWN,
                peer = Peer.Vm(identity.vm),
                detail = "VM ${identity.vm} is leaving and takes no new work",
                retryAfter = Duration.ZERO,
            ).left(),
            MemberStatus.UNKNOWN,
        )
    }

    private companion object {
        val MAINTENANCE_INTERVAL = 1000.milliseconds
        val VANTAGE_TIMEOUT = 400.milliseconds
        val VANTAGE_REPORT_TIMEOUT = 300.milliseconds
        val INDIRECT_PROBE_TIMEOUT = 500.milliseconds
        const val REMOTE_VANTAGE_COUNT = 2
        const val MAXIMUM_OBSERVED_GROUPS = 5
        const val DRAIN_POLL_MILLIS = 20L
    }
}
