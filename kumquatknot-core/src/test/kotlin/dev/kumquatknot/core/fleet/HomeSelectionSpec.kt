package dev.kumquatknot.core.fleet

import dev.kumquatknot.core.identity.DataCentre
import dev.kumquatknot.core.identity.Region
import dev.kumquatknot.core.identity.VmName
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isIn
import strikt.assertions.isLessThan
import strikt.assertions.last
import kotlin.time.Duration.Companion.seconds

/** The fleet of the reference workload: 12 VMs of 1.5 cores and 75 of 0.36 in six data centres of three regions. */
class HomeSelectionSpec {
    private val regions = (0 until 6).associate { DataCentre("dc-$it") to Region("region-${it / 2}") }
    private val selection = HomeSelection(regions::get)
    private val fleet = fleet(0)

    private fun fleet(number: Int) = List(87) { index ->
        val cores = if (index < 12) 1.5 else 0.36
        FleetVm(VmName("vm-$number-$index"), 1, "10.0.0.$index:1", DataCentre("dc-${index % 6}"), cores)
    }

    private fun homes(vms: List<FleetVm>, by: HomeSelection = selection): Map<Pair<String, Region>, FleetVm> =
        (0 until 6).flatMap { group -> regions.values.distinct().map { "group-$group" to it } }
            .associateWith { (group, region) -> by.order(group, region, vms).first() }

    @Nested
    inner class `the order` {
        @Test
        fun `has the VMs of the region first, then all others`() {
            val order = selection.order("group-1", Region("region-1"), fleet).map { regions[it.dataCentre]?.value }
            expectThat(order.take(29)).all { isEqualTo("region-1") }
            expectThat(order.drop(29).toSet()).containsExactlyInAnyOrder("region-0", "region-2")
        }

        @Test
        fun `without a region has all VMs in one order`() {
            val order = selection.order("limits", null, fleet)
            expectThat(order).containsExactlyInAnyOrder(fleet)
            expectThat(order.take(12).map { regions[it.dataCentre] }.toSet().size).isGreaterThan(1)
        }

        @Test
        fun `lacks VMs to which nothing can be forwarded`() {
            expectThat(selection.order("group-1", null, listOf(FleetVm(VmName("old"))))).isEmpty()
        }

        @Test
        fun `has suspected VMs after all live ones and leaving ones last`() {
            val view = FleetView().apply { update(fleet) }
            val (first, second) = selection.order("group-1", Region("region-0"), view, 9.seconds)
            view.recordFailure(first.name, 9.seconds)
            view.recordLeaving(second.name)
            val order = selection.order("group-1", Region("region-0"), view, 9.seconds)
            expectThat(order).last().isEqualTo(second)
            expectThat(order[order.lastIndex - 1]).isEqualTo(first)
        }
    }

    @Nested
    inner class `a change of the fleet` {
        @Test
        fun `moves only what the VM held that left`() {
            val before = homes(fleet)
            val lost = before.values.first()
            val after = homes(fleet - lost)
            expectThat(before.keys.filter { before[it] != after[it] }).all { get { before[this] }.isEqualTo(lost) }
        }

        @Test
        fun `gives a lost home's work to the next in its order`() {
            val order = selection.order("group-2", Region("region-2"), fleet)
            expectThat(selection.order("group-2", Region("region-2"), fleet - order.first()))
                .isEqualTo(order.drop(1))
        }
    }

    /** Over many fleets: a small VM as home of several groups would have no time for the callers of its own. */
    @Nested
    inner class `of the 18 homes of 6 groups in 3 regions` {
        private fun smallHomes(exponent: Int): List<Map<FleetVm, Int>> {
            val by = HomeSelection(regions::get, exponent)
            return List(FLEETS) { number ->
                homes(fleet(number), by).values.filter { it.cores < 1 }.groupingBy { it }.eachCount()
            }
        }

        @Test
        fun `few fall to small VMs, and hardly ever two to the same one`() {
            (1..4).forEach { exponent ->
                val small = smallHomes(exponent)
                println(
                    "cores^$exponent: %.2f of 18 homes on small VMs, in %.1f %% of fleets one has two".format(
                        small.map { it.values.sum() }.average(),
                        100.0 * small.count { fleet -> fleet.values.any { it > 1 } } / FLEETS,
                    ),
                )
            }
            val chosen = smallHomes(HomeSelection.WEIGHT_EXPONENT)
            expectThat(chosen.count { fleet -> fleet.values.any { it > 1 } } / FLEETS.toDouble()).isLessThan(0.02)
        }

        @Test
        fun `each large VM gets its share`() {
            val counts = (0 until FLEETS).flatMap { number ->
                homes(fleet(number)).values
            }.groupingBy { it.cores }.eachCount()
            val perLarge = checkNotNull(counts[1.5]) / 12.0 / FLEETS
            val most = List(FLEETS) { number -> homes(fleet(number)).values.groupingBy { it }.eachCount().values.max() }
            println(
                "a VM of 1.5 cores has %.2f homes on average, the most at one VM are %.2f".format(
                    perLarge,
                    most.average(),
                ),
            )
            expectThat(perLarge).isIn(1.2..1.5)
        }
    }

    private companion object {
        const val FLEETS = 1_000
    }
}
