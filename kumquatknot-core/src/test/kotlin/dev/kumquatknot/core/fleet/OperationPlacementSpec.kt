package dev.kumquatknot.core.fleet

import dev.kumquatknot.core.identity.DataCentre
import dev.kumquatknot.core.identity.DatabaseName
import dev.kumquatknot.core.identity.Region
import dev.kumquatknot.core.identity.VmName
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isTrue
import strikt.assertions.startsWith
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

class OperationPlacementSpec {
    private val regions = listOf("a", "b").associate { DataCentre(it) to Region("region-$it") }
    private val vms = listOf("a", "b").flatMap { dataCentre -> List(6) { vm("$dataCentre-$it", dataCentre) } }
    private val group = DatabaseName("rental")
    private val now = 50.seconds

    private fun vm(name: String, dataCentre: String) =
        FleetVm(VmName(name), 1, "10.0.0.1:1", DataCentre(dataCentre), 1.0)

    private fun home(region: String): FleetVm = HomeSelection(
        regions::get,
    ).order(group.value, Region(region), vms).first()

    private inner class Node(self: FleetVm, listed: List<FleetVm>? = vms) {
        val view = FleetView(self).also { view -> listed?.let(view::update) }
        val homes = HomeVms(view, regions::get)
        private val placement = OperationPlacement(homes, self.dataCentre ?: DataCentre("a"))

        fun place(replica: Boolean = true, primary: String? = "a", customers: Boolean = true, at: Duration = now) =
            placement.place(PlacedOperation(group, replica, primary?.let(::DataCentre)), customers, at)

        fun names(replica: Boolean = true, primary: String? = "a"): List<String> =
            (place(replica, primary) as Placement.Forwarded).names.map { it.value }
    }

    private fun otherNode(dataCentre: String) =
        Node(HomeSelection(regions::get).order(group.value, Region("region-$dataCentre"), vms)[5])

    @Nested
    inner class `an operation` {
        @Test
        fun `that a replica may serve goes to the home VM of the caller's region`() {
            val node = otherNode("b")
            expectThat(node.names().first()).isEqualTo(home("region-b").name.value)
            expectThat(node.place().reason).isEqualTo(PlacementReason.HOME_OF_CALLER)
        }

        @Test
        fun `that needs the primary goes to the home VM of the primary's region`() {
            val node = otherNode("b")
            expectThat(node.names(replica = false).first()).isEqualTo(home("region-a").name.value)
            expectThat(node.place(replica = false).reason).isEqualTo(PlacementReason.HOME_OF_PRIMARY)
        }

        @Test
        fun `that needs an unknown primary goes to the home VM of the caller's region, which looks for it`() {
            val node = otherNode("b")
            expectThat(node.names(replica = false, primary = null).first()).isEqualTo(home("region-b").name.value)
        }

        @Test
        fun `runs on the home VM itself`() {
            expectThat(Node(home("region-a")).place()).isEqualTo(Placement.Here(PlacementReason.OWN_HOME))
            expectThat(Node(home("region-a")).homes.isHome(group.value, DataCentre("a"), now)).isTrue()
            expectThat(Node(home("region-a")).homes.isHome(group.value, DataCentre("b"), now)).isFalse()
        }

        @Test
        fun `has at most three candidates, none of which comes after this VM`() {
            val order = HomeSelection(regions::get).order(group.value, Region("region-a"), vms).take(6)
            order.drop(1).forEachIndexed { index, self ->
                expectThat((Node(self).place() as Placement.Forwarded).candidates)
                    .isEqualTo(order.take(minOf(index + 1, 3)))
            }
        }
    }

    @Nested
    inner class `while a home VM is` {
        private val node = otherNode("a")

        @Test
        fun `suspected, the next one gets its operations, and it gets them back afterwards`() {
            val first = home("region-a")
            val next = node.names()[1]
            node.view.recordFailure(first.name, now)
            expectThat(node.names().first()).isEqualTo(next)
            expectThat((node.place(at = now + 1.seconds) as Placement.Forwarded).candidates.first()).isEqualTo(first)
        }

        @Test
        fun `leaving, it gets no new operations`() {
            node.view.recordLeaving(home("region-a").name)
            expectThat(node.names().contains(home("region-a").name.value)).isFalse()
        }
    }

    @Nested
    inner class `an operation runs here` {
        @Test
        fun `without customers, as in earlier deployments`() {
            expectThat(otherNode("a").place(customers = false)).isEqualTo(Placement.Here(PlacementReason.NO_CUSTOMERS))
        }

        @Test
        fun `if other VMs cannot reach this one`() {
            val node = Node(FleetVm(VmName("a-9"), dataCentre = DataCentre("a")))
            expectThat(node.place()).isEqualTo(Placement.Here(PlacementReason.NO_PEER_ADDRESS))
            expectThat(node.homes.isHome(group.value, DataCentre("a"), now)).isFalse()
        }

        @Test
        fun `until the list of VMs is known, when each VM would be the home VM of all groups`() {
            val node = Node(vms.first(), listed = null)
            expectThat(node.place()).isEqualTo(Placement.Here(PlacementReason.VMS_UNKNOWN))
            expectThat(node.homes.isHome(group.value, DataCentre("a"), now)).isFalse()
        }

        @Test
        fun `if all others are suspected`() {
            val node = otherNode("a")
            vms.filter { it != node.view.self }.forEach { node.view.recordFailure(it.name, now) }
            expectThat(node.place()).isA<Placement.Here>()
        }

        @Test
        fun `if all others are earlier builds, which cannot run it`() {
            val self = vms.first()
            val node = Node(self, listOf(self) + (1..5).map { FleetVm(VmName("old-$it")) })
            expectThat(node.place()).isA<Placement.Here>()
        }
    }

    @Test
    fun `all VMs of a region choose the same home VM`() {
        val chosen = vms.filter {
            it.name.value.startsWith("a") && it != home("region-a")
        }.map { Node(it).names().first() }
        expectThat(chosen.toSet().size).isLessThanOrEqualTo(1)
        expectThat(chosen.first()).startsWith("a")
    }
}
