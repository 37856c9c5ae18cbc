package dev.kumquatknot.proxy.fleet

import dev.kumquatknot.core.fleet.FleetView
import dev.kumquatknot.core.fleet.FleetVm
import dev.kumquatknot.core.fleet.VmCondition
import dev.kumquatknot.core.identity.DataCentre
import dev.kumquatknot.core.identity.VmName
import dev.kumquatknot.proxy.interactive.VirtualLoop
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import kotlin.time.Duration.Companion.seconds

class FleetLinksSpec {
    private val loop = VirtualLoop()
    private val other = vm("other")
    private val view = FleetView(vm("own")).apply { update(listOf(vm("own"), other)) }
    private val sent = ArrayList<Pair<VmName, PeerMessage>>()
    private val network = object : PeerNetwork {
        override fun send(vm: VmName, message: PeerMessage) = sent.add(vm to message)

        override fun addListener(listener: PeerListener) = Unit
    }
    private val reports = ArrayList<LoadReportPayload>()
    private var refreshes = 0
    private val links = FleetLinks(view, network, loop, { _, report -> reports += report }) { refreshes++ }

    private fun vm(name: String) = FleetVm(VmName(name), 1, "10.0.0.1:1", DataCentre("a"), 1.0)

    private fun condition() = view.conditionOf(other, loop.elapsed())

    private fun hello(vm: String, run: Long) =
        links.received(VmName(vm), PeerMessage(hello = HelloPayload(vm, run)))

    @Test
    fun `a VM or process that is not in the list causes it to be read again`() {
        hello("other", 1)
        expectThat(refreshes).isEqualTo(0)
        hello("new", 1)
        hello("other", 2)
        expectThat(refreshes).isEqualTo(2)
    }

    @Test
    fun `a lost link makes its VM suspected until the VM answers, for which a greeting is not enough`() {
        loop.advance(1.seconds)
        hello("other", 1)
        links.disconnected(other.name)
        hello("other", 1)
        expectThat(condition()).isEqualTo(VmCondition.SUSPECTED)
        links.received(other.name, PeerMessage(pong = PongPayload(1)))
        expectThat(condition()).isEqualTo(VmCondition.LIVE)
    }

    @Test
    fun `a report of the load of members is passed on`() {
        val report = LoadReportPayload(listOf(MemberLoadPayload("i-1", busy = 2)))
        links.received(other.name, PeerMessage(loadReport = report))
        expectThat(reports).containsExactly(report)
    }

    @Test
    fun `a VM that announces it gets no new operations`() {
        links.received(other.name, PeerMessage(leaving = LeavingPayload()))
        expectThat(condition()).isEqualTo(VmCondition.LEAVING)
    }

    @Test
    fun `this VM announces that it leaves to the VMs that have a link to it, without opening more`() {
        hello("other", 1)
        hello("gone", 1)
        links.disconnected(VmName("gone"))
        links.announceLeaving()
        expectThat(sent.map { (vm, message) -> vm.value to (message.leaving != null) }).containsExactly("other" to true)
        expectThat(view.conditionOf(vm("own"), loop.elapsed())).isEqualTo(VmCondition.LEAVING)
    }
}
