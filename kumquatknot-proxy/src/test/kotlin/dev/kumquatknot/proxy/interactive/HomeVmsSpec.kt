package dev.kumquatknot.proxy.interactive

import dev.kumquatknot.core.configuration.Rank
import dev.kumquatknot.core.customer.CallerKey
import dev.kumquatknot.core.customer.Customer
import dev.kumquatknot.core.customer.CustomerDirectory
import dev.kumquatknot.core.customer.CustomerName
import dev.kumquatknot.core.fleet.FleetView
import dev.kumquatknot.core.fleet.FleetVm
import dev.kumquatknot.core.fleet.Placement
import dev.kumquatknot.core.fleet.PlacementReason
import dev.kumquatknot.core.identity.DataCentre
import dev.kumquatknot.core.identity.Region
import dev.kumquatknot.core.identity.VmName
import dev.kumquatknot.core.interactive.InteractiveConfiguration
import dev.kumquatknot.core.interactive.InteractiveRoute
import dev.kumquatknot.core.interactive.ReadConsistency
import dev.kumquatknot.proxy.event.EventLog
import dev.kumquatknot.proxy.fleet.HelloPayload
import dev.kumquatknot.proxy.fleet.PeerListener
import dev.kumquatknot.proxy.fleet.PeerMessage
import dev.kumquatknot.proxy.fleet.PeerNetwork
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Nodes of six VMs in three regions, of which one is home VM for each region; the messages between them are not sent.
 */
class HomeVmsSpec {
    private val loop = VirtualLoop()
    private val group = FakeGroup(loop)
    private val dataCentres = listOf("a", "b", "c")
    private val vms = List(6) { index ->
        FleetVm(VmName("vm-$index"), 1, "10.0.0.$index:1", DataCentre(dataCentres[index % 3]), 1.0)
    }
    private val customers =
        CustomerDirectory(listOf(Customer(CustomerName("tukan"), setOf(CallerKey("key")), limit = null)))
    private val bounded = route("own", ReadConsistency.READ_YOUR_WRITES)
    private val current = route("booking", ReadConsistency.CURRENT)

    private fun route(name: String, consistency: ReadConsistency) =
        InteractiveRoute(name, FakeGroup.NAME, consistency, 1.seconds, 400.milliseconds, Rank.URGENT, 1.seconds)

    private fun node(self: FleetVm, customers: CustomerDirectory = this.customers): InteractiveNode {
        val place = VmPlace(
            checkNotNull(self.dataCentre),
            dataCentres.associate {
                DataCentre(it) to
                    Region("region-$it")
            },
        )
        val ports = InteractivePorts(loop, loop::schedule, group::open, EventLog())
        return InteractiveNode(place, ports, fleet = FleetView(self)).apply {
            configure(
                InteractiveConfiguration(
                    1,
                    listOf(bounded, current).associateBy { it.name },
                    mapOf(FakeGroup.NAME to 20),
                    3.seconds,
                    customers,
                ),
            )
            updateMembers(group.discovered())
            start()
        }
    }

    private fun nodes() = vms.map { vm -> node(vm).also { it.updateFleet(vms) } }.also { loop.advance(3.seconds) }

    @Test
    fun `each region has one home VM for the group`() {
        val nodes = nodes()
        dataCentres.forEach { dataCentre ->
            expectThat(nodes.count { it.isHomeVm(FakeGroup.NAME, DataCentre(dataCentre)) }).isEqualTo(1)
        }
    }

    @Test
    fun `reads that a replica may serve run in the caller's region, all else in that of the primary`() {
        val nodes = nodes()
        val primary = group.discovered().single { it.claimsPrimary }.dataCentre
        nodes.forEachIndexed { index, node ->
            val reads = node.placeOperation(bounded, isRead = true)
            val ownRegion = checkNotNull(vms[index].dataCentre)
            if (node.isHomeVm(FakeGroup.NAME, ownRegion)) {
                expectThat(reads).isEqualTo(Placement.Here(PlacementReason.OWN_HOME))
            } else {
                expectThat((reads as Placement.Forwarded).candidates.first().dataCentre).isEqualTo(ownRegion)
            }
            listOf(node.placeOperation(bounded, isRead = false), node.placeOperation(current, isRead = true)).forEach {
                if (node.isHomeVm(FakeGroup.NAME, primary)) {
                    expectThat(it).isA<Placement.Here>()
                } else {
                    expectThat((it as Placement.Forwarded).candidates.first().dataCentre).isEqualTo(primary)
                }
            }
        }
    }

    @Test
    fun `without customers no VM is a home VM, and all operations run where they arrive`() {
        val nodes = vms.map { vm -> node(vm, CustomerDirectory.EMPTY).also { it.updateFleet(vms) } }
        loop.advance(3.seconds)
        nodes.forEach { node ->
            dataCentres.forEach { expectThat(node.isHomeVm(FakeGroup.NAME, DataCentre(it))).isFalse() }
            expectThat(node.placeOperation(bounded, isRead = true))
                .isEqualTo(Placement.Here(PlacementReason.NO_CUSTOMERS))
        }
    }

    @Test
    fun `a VM that leaves is no longer a home VM and tells the VMs that are linked to it`() {
        val nodes = nodes()
        val dataCentre = DataCentre("a")
        val home = nodes.single { it.isHomeVm(FakeGroup.NAME, dataCentre) }
        val sent = ArrayList<PeerMessage>()
        val network = object : PeerNetwork {
            lateinit var listener: PeerListener

            override fun send(vm: VmName, message: PeerMessage) = sent.add(message)

            override fun addListener(listener: PeerListener) {
                this.listener = listener
            }
        }
        home.connectPeers(network) {}
        network.listener.received(vms[5].name, PeerMessage(hello = HelloPayload("vm-5", 1)))
        home.leave()
        expectThat(home.isHomeVm(FakeGroup.NAME, dataCentre)).isFalse()
        expectThat(sent.single().leaving != null).isTrue()
    }
}
