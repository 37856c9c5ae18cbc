package dev.kumquatknot.proxy.fleet

import dev.kumquatknot.core.fleet.FleetView
import dev.kumquatknot.core.identity.VmName
import dev.kumquatknot.core.time.Clock

/**
 * Records in [view] what the links to other VMs show: which process runs under a name, which VM answers, stops or is
 * lost.
 *
 * @param onLoadReport called with what another VM reports of the load of members.
 * @param onUnknownRun called when a VM connects that the view does not know, or knows as an earlier process.
 */
internal class FleetLinks(
    private val view: FleetView,
    private val network: PeerNetwork,
    private val clock: Clock,
    private val onLoadReport: (VmName, LoadReportPayload) -> Unit,
    private val onUnknownRun: () -> Unit,
) : PeerListener {
    private val linked = LinkedHashSet<VmName>()

    override fun received(vm: VmName, message: PeerMessage) {
        linked += vm
        message.loadReport?.let { onLoadReport(vm, it) }
        val hello = message.hello
        when {
            // A frozen VM's connections are accepted by its kernel, so a greeting alone is no answer.
            hello != null -> if (view.recordRun(vm, hello.run)) onUnknownRun()
            message.leaving != null -> view.recordLeaving(vm)
            else -> view.recordAnswer(vm)
        }
    }

    override fun disconnected(vm: VmName) {
        linked -= vm
        view.recordFailure(vm, clock.elapsed())
    }

    /** Tells the VMs that have a link to this one that it is about to stop and takes no new operations. */
    fun announceLeaving() {
        view.leave()
        linked.toList().forEach { network.send(it, PeerMessage(leaving = LeavingPayload())) }
    }
}
