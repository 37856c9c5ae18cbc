package dev.kumquatknot.proxy.membership

import dev.kumquatknot.core.history.Term
import dev.kumquatknot.core.identity.DatabaseName
import dev.kumquatknot.core.identity.MemberName
import dev.kumquatknot.core.identity.VmName
import dev.kumquatknot.core.membership.Membership
import dev.kumquatknot.core.membership.MembershipChange
import dev.kumquatknot.core.membership.VmCondition
import dev.kumquatknot.core.membership.VmRecord
import dev.kumquatknot.core.platform.ListedVm
import dev.kumquatknot.core.time.Clock
import dev.kumquatknot.proxy.event.Event
import dev.kumquatknot.proxy.event.EventLog
import dev.kumquatknot.proxy.peer.GossipMessage
import dev.kumquatknot.proxy.peer.PeerPort
import dev.kumquatknot.proxy.peer.PrimaryRecord
import org.apache.commons.rng.UniformRandomProvider
import java.util.concurrent.Executor
import java.util.concurrent.RejectedExecutionException
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Called after the view of the fleet has changed. Runs without locks held. */
internal typealias MembershipListener = (Membership) -> Unit

/** Called when [peer] has a configuration with [number]. */
internal typealias ConfigurationNumberListener = (peer: VmRecord, number: Long) -> Unit

/**
 * Keeps this node's view of the other nodes: probes one node a period, asks others to probe it when it is silent, and
 * passes on news of VMs and primaries with each probe. Fresh news also goes to a few nodes at once. The cost of a
 * period does not depend on the size of the fleet.
 *
 * Thread-safe; its one lock is never held during a call or a listener.
 */
internal class MembershipRunner(
    self: VmRecord,
    private val peers: PeerPort,
    private val clock: Clock,
    private val random: UniformRandomProvider,
    private val executor: Executor,
    private val events: EventLog,
    private val configurationNumber: () -> Long,
) {
    private val lock = ReentrantLock()
    private var membership = Membership(self)
    private val vmNews = NewsQueue<VmName, VmRecord>(NEWS_IN_MESSAGE)
    private val primaryNews = NewsQueue<DatabaseName, PrimaryRecord>(NEWS_IN_MESSAGE)
    private val primaries = HashMap<DatabaseName, PrimaryRecord>()
    private var probeOrder = ArrayDeque<VmName>()
    private var period = 0L

    /** Called after each change of the view. */
    var onChange: MembershipListener = {}

    /** Called when another node has a higher configuration number. */
    var onConfigurationNumber: ConfigurationNumberListener = { _, _ -> }

    /** Called when a newer primary of a group is heard of. */
    var onPrimary: (PrimaryRecord) -> Unit = {}

    init {
        vmNews.add(self.name, self)
    }

    /** The view of this moment. */
    val view: Membership get() = lock.withLock { membership }

    /** Returns the newest known primary of [database]. */
    fun primary(database: DatabaseName): PrimaryRecord? = lock.withLock { primaries[database] }

    /** Runs one period: ages the view, probes one node and passes on news. */
    fun runPeriod() {
        apply { it.withTimeoutsApplied(clock.elapsed()) }
        val target = nextTarget() ?: return
        val full = lock.withLock { period++ % FULL_EXCHANGE_PERIODS == 0L }
        if (!exchange(target, message(full, regular = true))) probeIndirectly(target)
    }

    /** Exchanges everything with the node at [address], whose name need not be known; for a node that starts. */
    fun join(address: String, name: VmName): Boolean {
        val stranger = VmRecord(name, view.self.dataCentre, address, Membership.FIRST_INCARNATION, VmCondition.LIVE)
        return exchange(stranger, message(full = true))
    }

    /** Takes in the platform's list of VMs. Live ones are no news to others, who read the same list. */
    fun listed(list: List<ListedVm>, memberNames: Set<MemberName>) = apply { membership ->
        val change = membership.listed(list, memberNames, clock.elapsed())
        change.copy(changedRecords = change.changedRecords.filter { it.condition != VmCondition.LIVE })
    }

    /** Takes in that a call to [vm] was refused, before the next probe finds out. */
    fun reportSilent(vm: VmName) = apply { it.withFailedProbe(vm, clock.elapsed()) }

    /** Marks this VM as leaving and tells others at once. */
    fun leave() = apply { it.leave() }

    /** Takes in a primary that this VM has promoted or observed. */
    fun announce(record: PrimaryRecord) = acceptPrimaries(listOf(record))

    /** Answers a message of another node. */
    fun receive(message: GossipMessage): GossipMessage {
        take(message)
        return message(message.full, forSender = message.sender)
    }

    private fun exchange(target: VmRecord, message: GossipMessage): Boolean =
        peers.gossip(target, message, PROBE_TIMEOUT).fold(
            { false },
            {
                take(it)
                true
            },
        )

    private fun probeIndirectly(target: VmRecord) {
        val helpers = randomPeers(INDIRECT_PROBES, except = target.name)
        val answered = helpers.any { helper ->
            peers.probeIndirectly(helper, target, INDIRECT_TIMEOUT).fold({ false }, { it })
        }
        if (!answered) apply { it.withFailedProbe(target.name, clock.elapsed()) }
    }

    private fun take(message: GossipMessage) {
        apply { it.merged(message.vms + message.sender, clock.elapsed()) }
        acceptPrimaries(message.primaries)
        if (message.configurationNumber > configurationNumber()) {
            onConfigurationNumber(message.sender, message.configurationNumber)
        }
    }

    /** Only regular messages count as passing news on; others often go to nodes that know it already. */
    private fun message(
        full: Boolean = false,
        regular: Boolean = false,
        forSender: VmRecord? = null,
    ): GossipMessage = lock.withLock {
        val nodes = membership.records.size
        val refutable = forSender?.let { membership.record(it.name) }?.takeIf { it.overrides(forSender) }
        val vms = when {
            full -> membership.records.values.toList()
            regular -> vmNews.take(nodes)
            else -> vmNews.peek()
        }
        val known = when {
            full -> primaries.values.toList()
            regular -> primaryNews.take(nodes)
            else -> primaryNews.peek()
        }
        GossipMessage(membership.self, vms + listOfNotNull(refutable), known, configurationNumber(), full)
    }

    private fun apply(change: (Membership) -> MembershipChange) {
        val (before, after) = lock.withLock {
            val previous = membership
            val next = change(previous)
            membership = next.membership
            next.changedRecords.forEach { vmNews.add(it.name, it) }
            previous to next
        }
        if (after.membership === before) return
        logChanges(before, after)
        onChange(after.membership)
        if (after.changedRecords.isNotEmpty()) pushNews()
    }

    private fun acceptPrimaries(records: List<PrimaryRecord>) {
        val newer = lock.withLock {
            records.filter { it.term > (primaries[it.database]?.term ?: Term(0)) }.onEach {
                primaries[it.database] = it
                primaryNews.add(it.database, it)
            }
        }
        newer.forEach { onPrimary(it) }
        if (newer.isNotEmpty()) pushNews()
    }

    private fun pushNews() {
        try {
            randomPeers(PUSH_FANOUT, except = null).forEach { peer ->
                executor.execute { exchange(peer, message()) }
            }
        } catch (_: RejectedExecutionException) {
            // The node is stopping; others learn of the news by their probes.
        }
    }

    private fun nextTarget(): VmRecord? = lock.withLock {
        val others = membership.records.values.filter { it.name != membership.self.name }
        val revisit = others.filter { it.condition == VmCondition.FAILED }
        if (revisit.isNotEmpty() && period % REVISIT_PERIODS == 0L) return revisit[random.nextInt(revisit.size)]
        if (probeOrder.isEmpty()) {
            val candidates = others.filter { it.condition != VmCondition.FAILED }.map { it.name }
            probeOrder = ArrayDeque(shuffled(candidates))
        }
        probeOrder.removeFirstOrNull()?.let { membership.record(it) }
    }

    private fun shuffled(names: List<VmName>): List<VmName> =
        names.map { it to random.nextInt() }.sortedBy { (_, place) -> place }.map { (name, _) -> name }

    private fun randomPeers(count: Int, except: VmName?): List<VmRecord> = lock.withLock {
        val candidates = membership.usable.filter { it.name != membership.self.name && it.name != except }
        List(minOf(count, candidates.size)) { candidates[random.nextInt(candidates.size)] }.distinct()
    }

    private fun logChanges(before: Membership, after: MembershipChange) = after.changedRecords.forEach { record ->
        val event = when (record.condition) {
            VmCondition.FAILED -> Event.PEER_LOST
            VmCondition.LEAVING -> Event.VM_LEAVING
            VmCondition.LIVE -> Event.PEER_FOUND
            VmCondition.SUSPECTED -> return@forEach
        }
        if (before.record(record.name)?.condition != record.condition) {
            events.log(event, "vm" to record.name.value, "incarnation" to record.incarnation)
        }
    }

    companion object {
        /** Time between two probes of a node. */
        val PERIOD: Duration = 1000.milliseconds

        private val PROBE_TIMEOUT = 500.milliseconds
        private val INDIRECT_TIMEOUT = 1000.milliseconds
        private const val INDIRECT_PROBES = 3
        private const val PUSH_FANOUT = 4
        private const val NEWS_IN_MESSAGE = 32
        private const val REVISIT_PERIODS = 8L
        private const val FULL_EXCHANGE_PERIODS = 60L
    }
}
