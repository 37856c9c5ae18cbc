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

/** Called after each change of the view of the fleet. No lock is held during the call. */
internal typealias MembershipListener = (Membership) -> Unit

/** Called when [peer] has a configuration with [number]. */
internal typealias ConfigurationNumberListener = (peer: VmRecord, number: Long) -> Unit

/**
 * Maintains this node's view of the fleet by a gossip protocol. In each period it probes one node, asks others to probe
 * a node that does not answer, and sends updates of VMs and primaries with each probe. New updates are also pushed to a
 * few nodes at once. The cost of a period does not depend on the size of the fleet.
 *
 * Thread-safe; its lock is not held during calls to peers and listeners.
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
    private val vmUpdates = GossipQueue<VmName, VmRecord>(MAXIMUM_UPDATES_PER_MESSAGE)
    private val primaryUpdates = GossipQueue<DatabaseName, PrimaryRecord>(MAXIMUM_UPDATES_PER_MESSAGE)
    private val primaries = HashMap<DatabaseName, PrimaryRecord>()
    private var probeOrder = ArrayDeque<VmName>()
    private var periodNumber = 0L

    /** Called after each change of the view. */
    var onChange: MembershipListener = {}

    /** Called when another node has a higher configuration number. */
    var onConfigurationNumber: ConfigurationNumberListener = { _, _ -> }

    /** Called when a primary of a newer term is received or announced. */
    var onPrimary: (PrimaryRecord) -> Unit = {}

    init {
        vmUpdates.add(self.name, self)
    }

    /** Current view of the fleet; immutable. */
    val view: Membership get() = lock.withLock { membership }

    /** Returns the newest known primary of [database]. */
    fun primary(database: DatabaseName): PrimaryRecord? = lock.withLock { primaries[database] }

    /** Runs one protocol period: expires suspicions in the view, probes one node and sends it updates. */
    fun runPeriod() {
        applyChange { it.withTimeoutsApplied(clock.elapsed()) }
        val target = nextProbeTarget() ?: return
        val full = lock.withLock { periodNumber++ % FULL_EXCHANGE_PERIODS == 0L }
        if (!exchange(target, message(full, regular = true))) probeIndirectly(target)
    }

    /** Exchanges the full state with the node at [address] at startup; [name] may differ from the node's own name. */
    fun join(address: String, name: VmName): Boolean {
        val unnamedPeer = VmRecord(name, view.self.dataCentre, address, Membership.FIRST_INCARNATION, VmCondition.LIVE)
        return exchange(unnamedPeer, message(full = true))
    }

    /** Merges the platform's list of VMs. Live ones are not gossiped, because the other nodes read the same list. */
    fun mergeListedVms(list: List<ListedVm>, memberNames: Set<MemberName>) = applyChange { membership ->
        val change = membership.listed(list, memberNames, clock.elapsed())
        change.copy(changedRecords = change.changedRecords.filter { it.condition != VmCondition.LIVE })
    }

    /** Records that a call to [vm] failed, without waiting for the next probe. */
    fun reportUnresponsive(vm: VmName) = applyChange { it.withFailedProbe(vm, clock.elapsed()) }

    /** Marks this VM as leaving and pushes the change to other nodes at once. */
    fun leave() = applyChange { it.leave() }

    /** Records and pushes a primary that this VM has promoted or observed. */
    fun announce(record: PrimaryRecord) = acceptPrimaries(listOf(record))

    /** Processes a message of another node and returns the reply. */
    fun receive(message: GossipMessage): GossipMessage {
        processMessage(message)
        return message(message.full, recipient = message.sender)
    }

    private fun exchange(target: VmRecord, message: GossipMessage): Boolean =
        peers.gossip(target, message, PROBE_TIMEOUT).fold(
            { false },
            {
                processMessage(it)
                true
            },
        )

    private fun probeIndirectly(target: VmRecord) {
        val helpers = randomPeers(INDIRECT_PROBE_COUNT, except = target.name)
        val answered = helpers.any { helper ->
            peers.probeIndirectly(helper, target, INDIRECT_PROBE_TIMEOUT).fold({ false }, { it })
        }
        if (!answered) applyChange { it.withFailedProbe(target.name, clock.elapsed()) }
    }

    private fun processMessage(message: GossipMessage) {
        applyChange { it.merged(message.vms + message.sender, clock.elapsed()) }
        acceptPrimaries(message.primaries)
        if (message.configurationNumber > configurationNumber()) {
            onConfigurationNumber(message.sender, message.configurationNumber)
        }
    }

    /** Only regular messages count as transmissions; others often go to nodes that have the updates already. */
    private fun message(
        full: Boolean = false,
        regular: Boolean = false,
        recipient: VmRecord? = null,
    ): GossipMessage = lock.withLock {
        val nodes = membership.records.size
        val refutation = recipient?.let { membership.record(it.name) }?.takeIf { it.overrides(recipient) }
        val vms = when {
            full -> membership.records.values.toList()
            regular -> vmUpdates.takeForTransmission(nodes)
            else -> vmUpdates.peek()
        }
        val primaryRecords = when {
            full -> primaries.values.toList()
            regular -> primaryUpdates.takeForTransmission(nodes)
            else -> primaryUpdates.peek()
        }
        GossipMessage(membership.self, vms + listOfNotNull(refutation), primaryRecords, configurationNumber(), full)
    }

    private fun applyChange(change: (Membership) -> MembershipChange) {
        val (before, after) = lock.withLock {
            val previous = membership
            val next = change(previous)
            membership = next.membership
            next.changedRecords.forEach { vmUpdates.add(it.name, it) }
            previous to next
        }
        if (after.membership === before) return
        logChanges(before, after)
        onChange(after.membership)
        if (after.changedRecords.isNotEmpty()) pushUpdates()
    }

    private fun acceptPrimaries(records: List<PrimaryRecord>) {
        val newer = lock.withLock {
            records.filter { it.term > (primaries[it.database]?.term ?: Term(0)) }.onEach {
                primaries[it.database] = it
                primaryUpdates.add(it.database, it)
            }
        }
        newer.forEach { onPrimary(it) }
        if (newer.isNotEmpty()) pushUpdates()
    }

    private fun pushUpdates() {
        try {
            randomPeers(PUSH_FANOUT, except = null).forEach { peer ->
                executor.execute { exchange(peer, message()) }
            }
        } catch (_: RejectedExecutionException) {
            // The node is stopping; other nodes get the updates by their probes.
        }
    }

    private fun nextProbeTarget(): VmRecord? = lock.withLock {
        val others = membership.records.values.filter { it.name != membership.self.name }
        val failed = others.filter { it.condition == VmCondition.FAILED }
        if (failed.isNotEmpty() && periodNumber % FAILED_PROBE_PERIODS == 0L) return failed[random.nextInt(failed.size)]
        if (probeOrder.isEmpty()) {
            val candidates = others.filter { it.condition != VmCondition.FAILED }.map { it.name }
            probeOrder = ArrayDeque(shuffled(candidates))
        }
        probeOrder.removeFirstOrNull()?.let { membership.record(it) }
    }

    private fun shuffled(names: List<VmName>): List<VmName> =
        names.map { it to random.nextInt() }.sortedBy { (_, sortKey) -> sortKey }.map { (name, _) -> name }

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
        /** Length of a protocol period, in which a node sends one probe. */
        val PROBE_PERIOD: Duration = 1000.milliseconds

        private val PROBE_TIMEOUT = 500.milliseconds
        private val INDIRECT_PROBE_TIMEOUT = 1000.milliseconds
        private const val INDIRECT_PROBE_COUNT = 3
        private const val PUSH_FANOUT = 4
        private const val MAXIMUM_UPDATES_PER_MESSAGE = 32
        private const val FAILED_PROBE_PERIODS = 8L
        private const val FULL_EXCHANGE_PERIODS = 60L
    }
}
