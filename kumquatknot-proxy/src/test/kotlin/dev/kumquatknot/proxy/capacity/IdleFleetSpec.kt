package dev.kumquatknot.proxy.capacity

import arrow.core.Either
import arrow.core.right
import dev.kumquatknot.core.configuration.Rank
import dev.kumquatknot.core.customer.Customer
import dev.kumquatknot.core.customer.CustomerDirectory
import dev.kumquatknot.core.customer.CustomerName
import dev.kumquatknot.core.fleet.FleetView
import dev.kumquatknot.core.fleet.FleetVm
import dev.kumquatknot.core.identity.DataCentre
import dev.kumquatknot.core.identity.Region
import dev.kumquatknot.core.identity.VmName
import dev.kumquatknot.core.interactive.DiscoveredMember
import dev.kumquatknot.core.interactive.InteractiveConfiguration
import dev.kumquatknot.core.interactive.InteractiveRoute
import dev.kumquatknot.core.interactive.MemberCommand
import dev.kumquatknot.core.interactive.ReadConsistency
import dev.kumquatknot.core.platform.ConditionalStore
import dev.kumquatknot.core.platform.ObjectSnapshot
import dev.kumquatknot.core.platform.ObjectVersion
import dev.kumquatknot.core.platform.PromotionAnswer
import dev.kumquatknot.core.platform.StoreEra
import dev.kumquatknot.core.platform.StoreFailure
import dev.kumquatknot.core.platform.StoredObject
import dev.kumquatknot.core.platform.WatchResult
import dev.kumquatknot.core.platform.WatchableObjects
import dev.kumquatknot.proxy.event.EventLog
import dev.kumquatknot.proxy.feed.SharedFeed
import dev.kumquatknot.proxy.feed.VirtualPeers
import dev.kumquatknot.proxy.feed.VirtualStore
import dev.kumquatknot.proxy.feed.VirtualWatcher
import dev.kumquatknot.proxy.fleet.FleetRegistry
import dev.kumquatknot.proxy.interactive.Cancel
import dev.kumquatknot.proxy.interactive.DutyLeaseRenewer
import dev.kumquatknot.proxy.interactive.FailoverCoordinator
import dev.kumquatknot.proxy.interactive.FakeGroup
import dev.kumquatknot.proxy.interactive.InteractiveLimits
import dev.kumquatknot.proxy.interactive.InteractiveNode
import dev.kumquatknot.proxy.interactive.InteractivePorts
import dev.kumquatknot.proxy.interactive.LoopExecutor
import dev.kumquatknot.proxy.interactive.MemberLink
import dev.kumquatknot.proxy.interactive.MemberLinkEvents
import dev.kumquatknot.proxy.interactive.NodeEnvironment
import dev.kumquatknot.proxy.interactive.RestorableStore
import dev.kumquatknot.proxy.interactive.VirtualLoop
import dev.kumquatknot.proxy.interactive.VmPlace
import dev.kumquatknot.proxy.metric.InteractiveMetrics
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Counts what a fleet of three regions costs without load in a minute of simulated time: calls to the store, of which a
 * stale read counts as a tenth, polls of the members and wake-ups. The first VM of each region is the home VM, the
 * first two are candidates for the failover duty and the sources of the feeds.
 *
 * The watches are those of [VirtualWatcher], which makes the calls of an ObjectWatcher.
 */
class IdleFleetSpec {
    private class Fleet(size: Int) {
        val loop = VirtualLoop()
        private val random = Random(size)
        private val group = FakeGroup(loop).apply { appliesAtOnce = true }
        private val feeds = List(FEEDS) { VirtualStore(loop).apply { put("a", "1") } }
        private val peers = List(FEEDS) { VirtualPeers(loop) }
        private val objects = RestorableStore(random)
        val vms = List(size) { Vm(it) }

        inner class Vm(private val number: Int) : ConditionalStore, WatchableObjects {
            private val name = VmName("vm-$number")
            private val region = number % REGIONS
            private val rank = number / REGIONS
            private val executor = LoopExecutor(loop) { false }
            val isHome = rank == 0
            val isSource = rank < 2
            var wakeUps = 0
            var calls = 0.0
            var polls = 0

            // One VM of each region is so much larger than the others that it is home VM of every group.
            private val self = FleetVm(
                name,
                run = number.toLong(),
                address = "127.0.0.1:1",
                dataCentre = DataCentre("abc"[region].toString()),
                cores = if (isHome) 1_000.0 else 1.0,
            )
            val node = InteractiveNode(
                VmPlace(DataCentre("abc"[region].toString()), regions),
                InteractivePorts(loop, ::schedule, ::open, EventLog()),
                fleet = FleetView(self),
            )
            private val renewer: DutyLeaseRenewer = DutyLeaseRenewer(
                "duties/failover",
                "vm-$number",
                this,
                executor,
                loop,
                EventLog(),
                { rank },
            ) { coordinator.dutyChanged() }
            private val coordinator: FailoverCoordinator = FailoverCoordinator(
                node,
                renewer,
                "vm-$number",
                { PromotionAnswer.Accepted },
                executor,
                InteractiveMetrics(),
            )
            private val registry = FleetRegistry("vms", self, this, this, executor, EventLog(), node::updateFleet)

            fun start() {
                node.configure(
                    InteractiveConfiguration(
                        number = 1,
                        routes = mapOf("d" to route),
                        connections = mapOf(FakeGroup.NAME to CONNECTIONS),
                        transactionIdle = 3.seconds,
                        customers = CustomerDirectory(
                            listOf(Customer(CustomerName("school"), emptySet(), limit = null)),
                        ),
                    ),
                )
                node.updateMembers(group.discovered())
                node.start()
                renewer.start()
                coordinator.start()
                registry.start()
                feeds.indices.forEach(::startFeed)
            }

            private fun startFeed(index: Int) {
                lateinit var watcher: VirtualWatcher
                val environment =
                    NodeEnvironment(loop, ::schedule, { _, _, _ ->
                        error("no member")
                    }, EventLog(), InteractiveLimits())
                val feed = SharedFeed(
                    "kind",
                    name,
                    environment,
                    peers[index].of(name),
                    { true },
                    { List(2) { VmName("vm-${it * REGIONS + region}") } },
                    { watcher.setWatching(it) },
                ) { _, _ -> }
                watcher = VirtualWatcher(name, feeds[index], { feed.maximumWait }, CHANGE_INTERVAL, feed::answered)
                feed.start()
                watcher.start()
            }

            private fun open(member: DiscoveredMember, customer: CustomerName?, events: MemberLinkEvents): MemberLink {
                val link = group.open(member, customer, events)
                return object : MemberLink by link {
                    override fun send(commands: List<MemberCommand>) {
                        polls++
                        link.send(commands)
                    }
                }
            }

            private fun schedule(delay: Duration, task: () -> Unit): Cancel = loop.schedule(delay) {
                wakeUps++
                task()
            }

            val allCalls get() = calls + feeds.sumOf { it.calls[name] ?: 0 }

            override val era: StoreEra get() = objects.era

            override fun read(key: String): Either<StoreFailure, StoredObject?> = objects.read(key).right().also {
                calls++
            }

            override fun readStale(key: String): Either<StoreFailure, StoredObject?> =
                objects.read(key).right().also { calls += STALE_READ }

            override fun write(key: String, value: String, expected: ObjectVersion) =
                objects.write(key, value, expected).also { calls++ }

            override fun snapshot(kind: String): Either<StoreFailure, ObjectSnapshot> =
                ObjectSnapshot(objects.list(kind), 1, era).right().also { calls++ }

            override fun changes(kind: String, revision: Long, timeout: Duration): Either<StoreFailure, WatchResult> =
                error("the registry does not watch")
        }

        fun run(): Fleet {
            beat(0)
            vms.forEach { vm -> loop.schedule(random.nextInt(2_000).milliseconds) { vm.start() } }
            loop.advance(START)
            feeds.forEach { it.calls.clear() }
            vms.forEach {
                it.calls = 0.0
                it.wakeUps = 0
                it.polls = 0
            }
            loop.advance(MINUTE)
            val usual = vms.filter { !it.isHome && !it.node.decidesFailovers }
            println(
                "${vms.size} VMs at rest: %.3f store calls per VM and second, %.1f polls per second, ".format(
                    callsPerSecond,
                    vms.sumOf { it.polls } / SECONDS,
                ) + "wake-ups per second: %.1f at most, %.1f on other than home VMs".format(
                    vms.maxOf { it.wakeUps } / SECONDS,
                    usual.maxOf { it.wakeUps } / SECONDS,
                ),
            )
            return this
        }

        /** Members write to the store all the time; the configuration stays the same. */
        private fun beat(count: Int) {
            feeds.last().put("a", "$count")
            loop.schedule(HEARTBEAT) { beat(count + 1) }
        }

        val callsPerSecond get() = vms.sumOf { it.allCalls } / vms.size / SECONDS
    }

    private val fleets by lazy { listOf(30, 90).map { Fleet(it).run() } }

    @Test
    fun `VMs at rest make at most 0,3 store calls a second`() {
        expectThat(fleets.map { it.callsPerSecond }).all { isLessThanOrEqualTo(0.3) }
    }

    @Test
    fun `polls do not grow with the number of VMs`() {
        fleets.forEach { fleet ->
            val (polling, resting) = fleet.vms.partition { it.isHome || it.node.decidesFailovers }
            expectThat(resting.map { it.polls }).all { isEqualTo(0) }
            expectThat(polling.map { it.polls }).all { isGreaterThan(0) }
        }
        val (small, large) = fleets.map { fleet -> fleet.vms.filter { it.isHome && !it.node.decidesFailovers } }
        expectThat(large.maxOf { it.polls }).isLessThanOrEqualTo(small.maxOf { it.polls })
    }

    @Test
    fun `a VM at rest wakes at most once a second for each of its timers`() {
        val atRest = fleets.flatMap { it.vms }.filter { !it.isHome && !it.isSource && !it.node.decidesFailovers }
        // Maintenance, polls and failovers once a second; each feed decides every 800 ms.
        expectThat(atRest.map { it.wakeUps / SECONDS }).all { isLessThanOrEqualTo(3 + FEEDS / 0.8) }
        expectThat(fleets.map { fleet -> fleet.vms.filter { it.node.decidesFailovers } }).all { hasSize(1) }
    }

    private companion object {
        const val REGIONS = 3
        const val FEEDS = 2
        const val CONNECTIONS = 151
        const val SECONDS = 60.0
        const val STALE_READ = 0.1
        val HEARTBEAT = 200.milliseconds

        /** As the node collects changes of members. */
        val CHANGE_INTERVAL = 2.seconds
        val START = 15.seconds
        val MINUTE = 60.seconds
        val regions = listOf("a", "b", "c").associate { DataCentre(it) to Region("region-$it") }
        val route = InteractiveRoute(
            "d",
            FakeGroup.NAME,
            ReadConsistency.BOUNDED_STALENESS,
            1.seconds,
            500.milliseconds,
            Rank.URGENT,
            1_500.milliseconds,
        )
    }
}
