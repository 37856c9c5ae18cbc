package dev.kumquatknot.proxy.interactive

import dev.kumquatknot.core.configuration.Rank
import dev.kumquatknot.core.customer.CallerKey
import dev.kumquatknot.core.customer.Customer
import dev.kumquatknot.core.customer.CustomerDirectory
import dev.kumquatknot.core.customer.CustomerName
import dev.kumquatknot.core.fleet.FleetView
import dev.kumquatknot.core.fleet.FleetVm
import dev.kumquatknot.core.identity.DataCentre
import dev.kumquatknot.core.identity.Region
import dev.kumquatknot.core.identity.RequestId
import dev.kumquatknot.core.identity.VmName
import dev.kumquatknot.core.interactive.InteractiveConfiguration
import dev.kumquatknot.core.interactive.InteractiveRoute
import dev.kumquatknot.core.interactive.ReadConsistency
import dev.kumquatknot.core.interactive.SessionReply
import dev.kumquatknot.core.interactive.SessionStatement
import dev.kumquatknot.core.interactive.StatementAccess
import dev.kumquatknot.proxy.event.EventLog
import dev.kumquatknot.proxy.fleet.LoadReportPayload
import dev.kumquatknot.proxy.fleet.MemberLoadPayload
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Reads of one VM to two replicas that are equally far away; the primary is the member "a". */
class BalancedReadsSpec {
    private val loop = VirtualLoop()
    private val group = FakeGroup(loop).apply { appliesAtOnce = true }
    private val dataCentres = listOf("a", "b", "c").map(::DataCentre)
    private val ownVm = FleetVm(VmName("vm"), 1, "127.0.0.1:1", dataCentres[0], 1.0)
    private val node = InteractiveNode(
        VmPlace(dataCentres[0], dataCentres.associateWith { Region("land") }),
        InteractivePorts(loop, loop::schedule, group::open, EventLog(), random = Random(1)::nextDouble),
        // The home VM of the only region, where there are customers.
        fleet = FleetView(ownVm).apply { update(listOf(ownVm)) },
    )
    private val key = CallerKey("key")
    private val customers = CustomerDirectory(listOf(Customer(CustomerName("tukan"), setOf(key), limit = null)))

    private fun start(vms: Int, connections: Int, customers: CustomerDirectory = CustomerDirectory.EMPTY) {
        val route = InteractiveRoute(
            "own",
            FakeGroup.NAME,
            ReadConsistency.BOUNDED_STALENESS,
            1.seconds,
            400.milliseconds,
            Rank.URGENT,
            1_500.milliseconds,
        )
        node.configure(
            InteractiveConfiguration(
                1,
                mapOf("own" to route),
                mapOf(FakeGroup.NAME to connections),
                3.seconds,
                customers,
            ),
        )
        node.updateMembers(group.discovered())
        node.fleetSize = vms
        node.start()
        loop.advance(1.seconds)
    }

    /** Returns the number of reads that each member served. */
    private fun read(reads: Int, beforeEach: () -> Unit = {}): Map<String, Int> {
        var opening: SessionOpening? = null
        val peer = object : SessionPeer {
            override fun reply(reply: SessionReply) = Unit

            override fun close() = Unit
        }
        node.open("own", key, peer) { opening = it }
        repeat(reads) { number ->
            beforeEach()
            (opening as SessionOpening.Opened).session
                .submit(RequestId("r-$number"), SessionStatement.Run(StatementAccess.READ, "READ 1"))
            loop.advance(50.milliseconds)
        }
        return group.runs.groupingBy { it.member }.eachCount()
    }

    @Test
    fun `are spread where many VMs use members with a connection for each`() {
        start(vms = 16, connections = 40)
        val served = read(READS)
        expectThat(served.keys).containsExactlyInAnyOrder("b", "c")
        expectThat(served.values.min()).isGreaterThan(READS / 4)
    }

    @Test
    fun `are spread where customers are configured`() {
        start(vms = 3, connections = 40, customers)
        expectThat(read(READS).keys).containsExactlyInAnyOrder("b", "c")
    }

    @Test
    fun `go to the nearest member as before in smaller fleets`() {
        start(vms = 15, connections = 40)
        expectThat(read(READS).size).isEqualTo(1)
    }

    @Test
    fun `go to the nearest member as before where connections are scarce, as spreading would need more of them`() {
        start(vms = 40, connections = 20)
        // The primary serves the first reads, as it is not polled without a connection.
        expectThat((read(READS) - "a").size).isEqualTo(1)
    }

    @Test
    fun `avoid a member that other VMs report as busy`() {
        start(vms = 16, connections = 40)
        val busy = LoadReportPayload(listOf(MemberLoadPayload("b", busy = 3, queued = 30)))
        val served = read(READS) { node.groupPools.forEach { it.recordLoadReport(VmName("other"), busy) } }
        expectThat(served["b"] ?: 0).isLessThan(READS / 4)
    }

    private companion object {
        const val READS = 80
    }
}
