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
import dev.kumquatknot.proxy.distribution.ConfigurationRunner
import dev.kumquatknot.proxy.entry.DataCentreDistance
import dev.kumquatknot.proxy.entry.EntryService
import dev.kumquatknot.proxy.entry.GroupTable
import dev.kumquatknot.proxy.entry.ReadPlan
import dev.kumquatknot.proxy.entry.Relay
import dev.kumquatknot.proxy.entry.RetryPolicy
import dev.kumquatknot.proxy.event.Event
import dev.kumquatknot.proxy.group.GroupRunner
import dev.kumquatknot.proxy.group.GroupRunnerPorts
import dev.kumquatknot.proxy.group.GroupRunnerSettings
import dev.kumquatknot.proxy.group.GroupRunnerThreads
import dev.kumquatknot.proxy.membership.MembershipRunner
import dev.kumquatknot.proxy.peer.GossipMessage
import dev.kumquatknot.proxy.peer.PeerConfiguration
import dev.kumquatknot.proxy.peer.PeerService
import dev.kumquatknot.proxy.peer.PrimaryRecord
import dev.kumquatknot.proxy.peer.MemberObservation
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
 * One node of the proxy without its servers: it serves callers' requests by [handle] and other nodes by [peerService].
 * It keeps its view of the fleet, the configuration in force, the members that it serves, and their groups' primaries.
 */
public class ProxyNode(private val identity: NodeIdentity, private val parts: NodeDependencies) {
    private val clock = parts.clock
    private val memberPorts = ConcurrentHashMap<MemberConfiguration, MemberPort>()
    private val threads = NodeThreads(identity.vm.value, parts.workers)
    private val holder = ConfigurationHolder()
    private val groups = GroupTable(clock)
    private val self =
        VmRecord(identity.vm, identity.dataCentre, identity.address, Membership.FIRST_INCARNATION, VmCondition.LIVE)
    private val membership = MembershipRunner(
        self = self,
        peers = parts.peers,
        clock = clock,
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(parts.seed),
        executor = threads.control,
        events = parts.events,
        configurationNumber = { holder.current.number },
    )
    private val hosts = MemberHosts(::memberPort, ::newRunner, clock, parts.events)
    private val transactions = TransactionTable(
        clock = clock,
        firstNumber = RandomSource.XO_RO_SHI_RO_128_PP.create(parts.seed).nextLong(1, Long.MAX_VALUE / 2),
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
    private val platform = PlatformLoop(
        vm = identity.vm,
        store = parts.store,
        configuration = ConfigurationRunner(holder, parts.store, parts.peers, parts.events) { applyChanges() },
        fleetSize = { membership.view.usable.size },
        onList = { list -> membership.listed(list, memberNames()) },
    )
    private val entry: EntryService

    @Volatile
    private var ownership = Ownership.none(self)

    @Volatile
    private var leaving = false

    init {
        val relay = Relay(
            self = identity.vm,
            order = { ownership.order(it) },
            serveLocally = ::serve,
            peers = parts.peers,
            groups = groups,
            clock = clock,
            onUnreachable = { vm -> membership.reportSilent(vm) },
        )
        entry = EntryService(
            configuration = { holder.current },
            relay = relay,
            planRead = newReadPlan()::plan,
            findVm = { membership.view.record(it)?.takeIf { record -> record.condition != VmCondition.FAILED } },
            groups = groups,
            retries = RetryPolicy(groups, RetryBudget(), clock),
            clock = clock,
        )
        membership.onChange = { applyChanges() }
        membership.onPrimary = ::learnPrimary
        membership.onConfigurationNumber =
            { peer, _ -> threads.control.execute { platform.configuration.fetchFrom(peer) } }
    }

    /** What other nodes may ask of this one. */
    public val peerService: PeerService = NodePeerService()

    /** The configuration in force. */
    public val configuration: FleetConfiguration get() = holder.current

    /** The view of the fleet. */
    public val fleet: Membership get() = membership.view

    /** Whether the node takes new work: it has a configuration and is not leaving. */
    public val ready: Boolean get() = !leaving && holder.current.number > 0

    /** Number of interactive transactions whose connections this node holds. */
    public val openTransactions: Int get() = transactions.size

    /** Serves one request of a caller; blocks until its final outcome. */
    public fun handle(request: CallerRequest): Either<RequestFailure, CallerReply> = entry.handle(request)

    /** Returns what is known of [database]: its term and its primary, or null where none is known. */
    public fun primary(database: DatabaseName): PrimaryRecord? = groups.group(database).let { known ->
        known.primary?.let { PrimaryRecord(database, known.term, it) }
    }

    /** Returns the time for which the primary that was replaced last has not answered this node. */
    internal fun gapOf(database: DatabaseName): Duration = hosts.lastGap(database)

    /** Returns the VMs that take new work. */
    internal fun usableVms(): Set<VmName> = membership.view.usable.map { it.name }.toSet()

    /** Starts the node: joins the fleet, gets a configuration and begins to serve members. */
    public fun start() {
        platform.readOnce()
        identity.seeds.forEach { membership.join(it, VmName(it)) }
        platform.start()
        every(MembershipRunner.PERIOD) { membership.runPeriod() }
        every(MAINTENANCE_INTERVAL) {
            hosts.maintain()
            transactions.expire()
        }
        parts.events.log(Event.NODE_STARTED, "vm" to identity.vm.value, "configuration" to holder.current.number)
    }

    /** Tells the fleet that this node takes no new work; it goes on with what it has. */
    public fun leave() {
        leaving = true
        parts.events.log(Event.NODE_STOPPING, "vm" to identity.vm.value)
        membership.leave()
    }

    /** Waits at most [limit] for open interactive transactions; tells whether all have ended. */
    public fun awaitTransactions(limit: Duration): Boolean {
        val until = clock.elapsed() + limit
        while (transactions.size > 0 && clock.elapsed() < until) Thread.sleep(DRAIN_POLL_MILLIS)
        return transactions.size == 0
    }

    /** Closes all connections and ends all threads, whatever is still in flight. */
    public fun stop() {
        leaving = true
        platform.stop()
        hosts.close()
        threads.close()
        parts.events.log(Event.NODE_STOPPED, "vm" to identity.vm.value)
    }

    /** Executor of calls that other nodes make for control. */
    internal val controlExecutor get() = threads.control

    /** Executor of work that other nodes relay. */
    internal val workExecutor get() = threads.work

    private fun newReadPlan(): ReadPlan {
        val random = RandomSource.XO_RO_SHI_RO_128_PP.create(parts.seed + 1)
        return ReadPlan(
            router = Router({ random.nextDouble() }),
            distance = DataCentreDistance(identity.dataCentre) { holder.current.region(it) },
            groups = groups,
            leaving = { membership.view.leavingMembers },
            clock = clock,
        )
    }

    private fun serve(request: RelayRequest): RelayReply = work.execute(request)

    private fun applyChanges() {
        val configuration = holder.current
        val next = Ownership(configuration, membership.view)
        ownership = next
        membership.view.records.values
            .filter { it.condition == VmCondition.FAILED }
            .forEach { parts.peers.disconnect(it.name) }
        hosts.apply(configuration, next.membersOf(identity.vm))
        parts.metrics.configurationInForce(configuration.number)
    }

    private fun learnPrimary(record: PrimaryRecord) {
        groups.learn(record)
        val view = GroupView(record.database, record.term, record.primary)
        hosts.runner(record.database)?.merge(view)
    }

    private fun newRunner(database: DatabaseConfiguration, ports: List<MemberPort>): GroupRunner {
        val runner = GroupRunner(
            database = database,
            ports = GroupRunnerPorts(
                members = ports,
                askVantage = ::askVantage,
                rank = { ownership.coordinatorRank(database, identity.vm) },
                leaving = { membership.view.leavingMembers },
                publish = { view, reason ->
                    parts.onPromotion(view.database, view.term)
                    parts.events.log(
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
                incarnation = parts.seed,
                timing = GroupTiming.forGroups(holder.current.databases.size.coerceAtMost(OBSERVED_GROUPS)),
            ),
            threads = GroupRunnerThreads(threads.timer, threads.control),
            clock = clock,
        )
        runner.onView(::announce)
        membership.primary(database.name)?.let { runner.merge(GroupView(it.database, it.term, it.primary)) }
        return runner
    }

    private fun announce(view: GroupView) {
        val primary = view.primary ?: return
        val record = PrimaryRecord(view.database, view.term, primary)
        groups.learn(record)
        threads.control.execute {
            hosts.interruptSuperseded(view.database, primary)
            membership.announce(record)
        }
    }

    private fun askVantage(database: DatabaseName, member: MemberName): List<MemberContactReport> {
        val configured = holder.current.database(database) ?: return emptyList()
        val gateways = configured.members.mapNotNull { ownership.gateway(it) }
        val others = membership.view.usable.filter { it.dataCentre != identity.dataCentre }.take(OTHER_VANTAGES)
        val asked = (gateways + others).distinctBy { it.name }.filter { it.name != identity.vm }
        return asked.mapNotNull { peer ->
            parts.peers.vantage(peer, database, member, VANTAGE_TIMEOUT)
                .fold({ null }, { MemberContactReport(peer.name, it.heardAgo) })
        }
    }

    /** Returns the one port of this node to [member], whose control connection all its uses share. */
    private fun memberPort(member: MemberConfiguration): MemberPort =
        memberPorts.computeIfAbsent(member) { parts.memberPorts(it) }

    private fun memberNames(): Set<MemberName> =
        holder.current.databases.flatMap { database -> database.members.map { it.name } }.toSet()

    private fun every(interval: Duration, task: () -> Unit) {
        threads.timer.scheduleWithFixedDelay(
            { threads.control.execute(task) },
            interval.inWholeMilliseconds,
            interval.inWholeMilliseconds,
            TimeUnit.MILLISECONDS,
        )
    }

    private fun logExpired(transaction: OpenTransaction) = parts.events.log(
        Event.TRANSACTION_ENDED,
        "transaction" to transaction.number,
        "team" to transaction.team.value,
        "database" to transaction.database.value,
    )

    private inner class NodePeerService : PeerService {
        override fun execute(request: RelayRequest): RelayReply =
            if (leaving && request.work.isNew) request.refusedByLeaving() else serve(request)

        override fun gossip(message: GossipMessage): GossipMessage = membership.receive(message)

        override fun probeIndirectly(name: VmName, address: String): Boolean {
            val target = self.copy(name = name, address = address)
            val probe = GossipMessage(membership.view.self, emptyList(), emptyList(), holder.current.number, false)
            return parts.peers.gossip(target, probe, INDIRECT_PROBE_TIMEOUT).isRight()
        }

        override fun configuration(known: Long): PeerConfiguration =
            PeerConfiguration(holder.current.takeIf { it.number > known }, parts.sessionKeys)

        override fun vantage(database: DatabaseName, member: MemberName): MemberObservation {
            val heard = hosts.runner(database)?.vantage(member)?.heardAgo
            if (heard != null) return MemberObservation(heard, Term(0))
            val configured = holder.current.database(database)?.members?.firstOrNull { it.name == member }
            val report = configured?.let { memberPort(it).report(VANTAGE_REPORT_TIMEOUT).getOrNull() }
            return MemberObservation(report?.let { Duration.ZERO }, report?.acceptedTerm ?: Term(0))
        }

        private val Work.isNew: Boolean
            get() = this !is Work.Run && this !is Work.Commit && this !is Work.Rollback

        private fun RelayRequest.refusedByLeaving() = RelayReply(
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
        const val OTHER_VANTAGES = 2
        const val OBSERVED_GROUPS = 5
        const val DRAIN_POLL_MILLIS = 20L
    }
}
