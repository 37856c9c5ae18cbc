package dev.kumquatknot.proxy.capacity

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import dev.kumquatknot.core.history.Term
import dev.kumquatknot.core.identity.DataCentre
import dev.kumquatknot.core.identity.DatabaseName
import dev.kumquatknot.core.identity.MemberName
import dev.kumquatknot.core.identity.VmName
import dev.kumquatknot.core.membership.VmCondition
import dev.kumquatknot.core.membership.VmRecord
import dev.kumquatknot.core.platform.ListedVm
import dev.kumquatknot.core.platform.VmState
import dev.kumquatknot.core.time.Clock
import dev.kumquatknot.proxy.event.EventLog
import dev.kumquatknot.proxy.membership.MembershipRunner
import dev.kumquatknot.proxy.peer.GossipMessage
import dev.kumquatknot.proxy.peer.PeerConfiguration
import dev.kumquatknot.proxy.peer.PeerFailure
import dev.kumquatknot.proxy.peer.PeerPort
import dev.kumquatknot.proxy.peer.PrimaryRecord
import dev.kumquatknot.proxy.peer.MemberObservation
import dev.kumquatknot.proxy.peer.toMessage
import dev.kumquatknot.proxy.relay.RelayReply
import dev.kumquatknot.proxy.relay.RelayRequest
import org.apache.commons.rng.simple.RandomSource
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isLessThanOrEqualTo
import java.time.Instant
import java.util.concurrent.Executor
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Measures the cost of gossip per node on virtual time. The fleet sizes come from the system property `capacity.nodes`,
 * a comma-separated list.
 */
class GossipCapacitySpec {
    private val sizes = System.getProperty("capacity.nodes", "8,62").split(",").map { it.toInt() }

    @Nested
    inner class `a steady fleet` {
        @Test
        fun `stays within the bandwidth budget of control traffic per node at any size`() {
            sizes.forEach { size ->
                val fleet = GossipFleet(size)
                fleet.run(periods = 10)
                val cost = fleet.measure(periods = 120)
                println("GossipCapacitySpec: steady, $size nodes: $cost")
                expectThat(cost.bytesPerNodeSecond).isLessThan(CONTROL_BYTES_PER_SECOND)
            }
        }
    }

    @Nested
    inner class `an update about a new primary` {
        @Test
        fun `reaches every node within three periods`() {
            sizes.forEach { size ->
                val fleet = GossipFleet(size)
                fleet.run(periods = 10)
                val before = fleet.calls
                val reachedByPush = fleet.announcePrimary()
                val periods = fleet.periodsUntilPrimaryIsKnown()
                val share = reachedByPush * 100 / size
                println(
                    "GossipCapacitySpec: news, $size nodes: $share % at once with " +
                        "${fleet.calls - before} calls in all, all after $periods periods",
                )
                expectThat(periods).describedAs("periods until all know").isLessThanOrEqualTo(3)
            }
        }
    }

    @Nested
    inner class `a node that is down` {
        @Test
        fun `is marked as failed by all others within eleven seconds, and no other node is`() {
            sizes.forEach { size ->
                val fleet = GossipFleet(size)
                fleet.run(periods = 10)
                fleet.down += VmName("vm-1")
                val periods = fleet.periodsUntil {
                    fleet.conditionsAtOthers(VmName("vm-1")) ==
                        setOf(VmCondition.FAILED)
                }
                println("GossipCapacitySpec: failure, $size nodes: known everywhere after $periods s")
                expectThat(periods).isLessThanOrEqualTo(11)
                expectThat(fleet.conditionsOfRunningNodes()).isEqualTo(setOf(VmCondition.LIVE))
            }
        }
    }

    private companion object {
        const val CONTROL_BYTES_PER_SECOND = 12_000L
    }
}

/** Average cost of control traffic for one node. */
internal data class GossipCost(
    val callsPerNodeSecond: Double,
    val bytesPerNodeSecond: Long,
    val microsPerNodeSecond: Long,
)

/** Membership runners that call each other in the test thread; executor tasks run after the current call. */
internal class GossipFleet(private val size: Int) {
    val down = HashSet<VmName>()
    var calls = 0L
        private set
    private var bytes = 0L
    private var now = 0.seconds
    private val pendingTasks = ArrayDeque<Runnable>()
    private val executor = Executor { pendingTasks.addLast(it) }
    private val clock = object : Clock {
        override fun elapsed(): Duration = now

        override fun instant(): Instant = Instant.EPOCH
    }
    private val listed = List(size) {
        ListedVm(
            VmName("vm-$it"),
            DataCentre("centre-${it % DATA_CENTRES}"),
            "10.0.${it / 250}.${it % 250}:8082",
            VmState.LIVE,
        )
    }
    private val runners = listed.associate { it.name to newRunner(it) }
    private val announcedPrimary = PrimaryRecord(DatabaseName("inventory-1"), Term(2), MemberName("inventory-1-b"))

    init {
        runners.values.forEach { it.mergeListedVms(listed, emptySet()) }
        runPendingTasks()
    }

    fun run(periods: Int) = repeat(periods) { runPeriod() }

    fun measure(periods: Int): GossipCost {
        val callsBefore = calls
        val bytesBefore = bytes
        val startedAt = System.nanoTime()
        run(periods)
        val micros = (System.nanoTime() - startedAt) / NANOS_PER_MICRO
        val nodeSeconds = periods.toLong() * size
        return GossipCost(
            (calls - callsBefore).toDouble() / nodeSeconds,
            (bytes - bytesBefore) / nodeSeconds,
            micros / nodeSeconds,
        )
    }

    fun announcePrimary(): Int {
        runners.values.first().announce(announcedPrimary)
        runPendingTasks()
        return runners.values.count { it.primary(announcedPrimary.database) == announcedPrimary }
    }

    fun periodsUntilPrimaryIsKnown(): Int = periodsUntil {
        runners.values.all { it.primary(announcedPrimary.database) == announcedPrimary }
    }

    fun periodsUntil(done: () -> Boolean): Int {
        var periods = 0
        while (!done() && periods < MAXIMUM_PERIODS) {
            runPeriod()
            periods++
        }
        return periods
    }

    fun conditionsAtOthers(vm: VmName): Set<VmCondition?> =
        runners.filterKeys { it != vm && it !in down }.values.map { it.view.record(vm)?.condition }.toSet()

    /** Returns the conditions in which the running nodes see each other. */
    fun conditionsOfRunningNodes(): Set<VmCondition> = runners.filterKeys { it !in down }.values
        .flatMap { it.view.records.values }
        .filter { it.name !in down }
        .map { it.condition }
        .toSet()

    private fun runPeriod() {
        now += 1.seconds
        runners.filterKeys { it !in down }.values.forEach {
            it.runPeriod()
            runPendingTasks()
        }
    }

    private fun runPendingTasks() {
        while (pendingTasks.isNotEmpty()) pendingTasks.removeFirst().run()
    }

    private fun newRunner(vm: ListedVm) = MembershipRunner(
        self = VmRecord(vm.name, vm.dataCentre, vm.address, 0, VmCondition.LIVE),
        peers = Peers(),
        clock = clock,
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(vm.name.value.hashCode().toLong()),
        executor = executor,
        events = EventLog(),
        configurationNumber = { 1 },
    )

    private inner class Peers : PeerPort {
        override fun gossip(peer: VmRecord, message: GossipMessage, timeout: Duration) = call(peer) { runner ->
            val reply = runner.receive(message)
            bytes += message.toMessage().serializedSize + reply.toMessage().serializedSize + 2 * FRAME_BYTES
            reply
        }

        override fun probeIndirectly(peer: VmRecord, target: VmRecord, timeout: Duration) =
            call(peer) { target.name !in down }

        override fun execute(peer: VmRecord, request: RelayRequest): Either<PeerFailure, RelayReply> = error("no work")

        override fun configuration(
            peer: VmRecord,
            known: Long,
            timeout: Duration,
        ): Either<PeerFailure, PeerConfiguration> = error("no configuration")

        override fun memberObservation(
            peer: VmRecord,
            database: DatabaseName,
            member: MemberName,
            timeout: Duration,
        ): Either<PeerFailure, MemberObservation> = error("no vantage")

        override fun disconnect(peer: VmName) = Unit

        private fun <T> call(peer: VmRecord, action: (MembershipRunner) -> T): Either<PeerFailure, T> {
            calls++
            if (peer.name in down) return PeerFailure.NoAnswer(peer.name, "down").left()
            return action(runners.getValue(peer.name)).right()
        }
    }

    private companion object {
        const val DATA_CENTRES = 4
        const val MAXIMUM_PERIODS = 60
        const val NANOS_PER_MICRO = 1_000

        /** HTTP/2 and gRPC framing and compressed headers of one message in bytes. */
        const val FRAME_BYTES = 60L
    }
}
