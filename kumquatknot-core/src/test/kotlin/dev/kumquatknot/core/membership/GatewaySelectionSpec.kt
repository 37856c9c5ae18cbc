package dev.kumquatknot.core.membership

import dev.kumquatknot.core.identity.DataCentre
import dev.kumquatknot.core.identity.Region
import dev.kumquatknot.core.identity.VmName
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isNull
import strikt.assertions.startsWith

class GatewaySelectionSpec {
    private val regions = mapOf("a-1" to "a", "a-2" to "a", "b-1" to "b", "b-2" to "b")
    private val selection = GatewaySelection { dataCentre -> regions[dataCentre.value]?.let { Region(it) } }
    private val centres = regions.keys.toList()
    private val fleet = List(620) { vm("vm-$it", centres[it % centres.size]) }
    private val members = List(2820) { "member-$it" to DataCentre(centres[it % centres.size]) }

    private fun vm(name: String, dataCentre: String) =
        VmRecord(VmName(name), DataCentre(dataCentre), "10.0.0.1:1", 0, VmCondition.LIVE)

    private fun gateways(vms: List<VmRecord>) =
        members.associate { (name, dataCentre) -> name to selection.gateway(name, dataCentre, vms)!!.name }

    @Nested
    inner class `the order of VMs` {
        @Test
        fun `prefers the member's data centre, then its region`() {
            val order = selection.order("member-1", DataCentre("a-2"), fleet).map { it.dataCentre.value }
            expectThat(order.take(155)).all { isEqualTo("a-2") }
            expectThat(order.drop(155).take(155)).all { isEqualTo("a-1") }
            expectThat(order.drop(310)).all { startsWith("b") }
        }

        @Test
        fun `starts with the gateway`() {
            members.take(50).forEach { (name, dataCentre) ->
                expectThat(selection.order(name, dataCentre, fleet).first())
                    .isEqualTo(selection.gateway(name, dataCentre, fleet))
            }
        }

        @Test
        fun `is empty without VMs`() {
            expectThat(selection.gateway("member-1", DataCentre("a-1"), emptyList())).isNull()
        }
    }

    @Nested
    inner class `in a fleet of 620 VMs and 2820 members` {
        @Test
        fun `a VM that leaves moves only the members that it held`() {
            val before = gateways(fleet)
            val removed = fleet[7].name
            val after = gateways(fleet - fleet[7])
            val moved = members.map { it.first }.filter { before[it] != after[it] }
            expectThat(moved).all { get { before[this] }.isEqualTo(removed) }
        }

        @Test
        fun `no VM holds more than four times the mean number of members`() {
            val most = gateways(fleet).values.groupingBy { it }.eachCount().values.max()
            expectThat(most).isLessThan(4 * 2820 / 620)
        }

        @Test
        fun `a failed data centre moves its members to the other one of the region`() {
            val remaining = fleet.filter { it.dataCentre != DataCentre("a-1") }
            val after = members.filter { it.second == DataCentre("a-1") }
                .map { selection.gateway(it.first, it.second, remaining)!!.dataCentre.value }
            expectThat(after).all { isEqualTo("a-2") }
        }
    }
}
