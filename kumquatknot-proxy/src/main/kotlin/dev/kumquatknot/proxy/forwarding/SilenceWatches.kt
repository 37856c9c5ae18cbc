package dev.kumquatknot.proxy.forwarding

import dev.kumquatknot.core.identity.VmName
import dev.kumquatknot.proxy.fleet.PeerMessage
import dev.kumquatknot.proxy.fleet.PeerNetwork
import dev.kumquatknot.proxy.fleet.PingPayload
import dev.kumquatknot.proxy.interactive.Cancel
import dev.kumquatknot.proxy.interactive.NodeEnvironment
import kotlin.time.Duration

/** Pings VMs that are watched and silent, and drops the links to those that stay so. */
internal class SilenceWatches(
    private val network: PeerNetwork,
    private val environment: NodeEnvironment,
    private val pingAfter: Duration,
    private val dropAfterPing: Duration,
    private val dropLink: (VmName) -> Unit,
    private val onLost: (VmName) -> Unit,
) {
    private val watches = HashMap<VmName, Watch>()
    private var lastPing = 0L

    /** Watches [vm] until the returned function is called. A VM can be watched for several reasons at a time. */
    fun watch(vm: VmName): Cancel {
        val now = environment.now()
        val watch = watches.getOrPut(vm) {
            Watch(SilenceDetector(now, pingAfter, dropAfterPing)).also { scheduleCheck(vm, it, pingAfter) }
        }
        if (watch.reasons == 0) watch.detector.recordSign(now)
        watch.reasons++
        return { watch.reasons-- }
    }

    /** Records that [vm] sent a message. */
    fun recordSign(vm: VmName) {
        watches[vm]?.detector?.recordSign(environment.now())
    }

    /** Stops to watch [vm], as the link to it was lost. */
    fun remove(vm: VmName) {
        watches.remove(vm)?.timer?.invoke()
    }

    /** The timer goes on between two reasons, as cancelling it each time would cost more. */
    private fun scheduleCheck(vm: VmName, watch: Watch, delay: Duration) {
        watch.timer = environment.schedule(delay) {
            if (watch.reasons > 0) check(vm, watch) else watches.remove(vm, watch)
        }
    }

    private fun check(vm: VmName, watch: Watch) {
        when (val check = watch.detector.check(environment.now())) {
            is SilenceCheck.Wait -> scheduleCheck(vm, watch, check.delay)
            is SilenceCheck.Ping -> {
                network.send(vm, PeerMessage(ping = PingPayload(++lastPing)))
                scheduleCheck(vm, watch, check.delay)
            }
            is SilenceCheck.Silent -> {
                dropLink(vm)
                // Where there was no link any more, nobody else reports its loss.
                if (watches[vm] === watch) onLost(vm)
            }
        }
    }

    private class Watch(val detector: SilenceDetector) {
        var reasons = 0
        var timer: Cancel? = null
    }
}
