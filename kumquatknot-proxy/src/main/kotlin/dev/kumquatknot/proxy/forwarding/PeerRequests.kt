package dev.kumquatknot.proxy.forwarding

import dev.kumquatknot.core.identity.VmName
import dev.kumquatknot.proxy.fleet.OutcomePayload
import dev.kumquatknot.proxy.fleet.PeerListener
import dev.kumquatknot.proxy.fleet.PeerMessage
import dev.kumquatknot.proxy.fleet.PeerNetwork
import dev.kumquatknot.proxy.interactive.Cancel
import dev.kumquatknot.proxy.interactive.NodeEnvironment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** How a request to another VM ended. */
internal sealed interface RequestEnd {
    /** The VM answered. */
    data class Answered(val outcome: OutcomePayload) : RequestEnd

    /** The request certainly did not reach the VM. */
    data object NotSent : RequestEnd

    /** The request was sent and may have been served; there will be no answer, for the reason in [detail]. */
    data class Unanswered(val detail: String) : RequestEnd
}

/**
 * Matches requests to other VMs with their answers, and drops links on which an answer is due but nothing arrives.
 *
 * @param firstNumber number of the first request. It differs between the processes of a VM, so that a request never
 *   has the number of one that an earlier process sent, to which an answer may still come.
 * @param dropLink drops the link to a VM, which is then reported as lost.
 */
internal class PeerRequests(
    private val network: PeerNetwork,
    private val environment: NodeEnvironment,
    firstNumber: Long,
    dropLink: (VmName) -> Unit,
) : PeerListener {
    private val pending = LinkedHashMap<Long, Request>()
    private val watches = SilenceWatches(network, environment, PING_AFTER, DROP_AFTER_PING, dropLink, ::disconnected)
    private var nextNumber = firstNumber

    /** Returns a number that no other request of this process has. */
    fun nextNumber(): Long = nextNumber++

    /**
     * Sends [message], the request with [number], to [vm]. Unless this returns false, [done] is called once, at the
     * latest at [giveUpAt], or never after [forget].
     */
    fun send(
        vm: VmName,
        number: Long,
        message: PeerMessage,
        giveUpAt: Duration,
        done: (RequestEnd) -> Unit,
    ): Boolean {
        val request = Request(vm, done)
        pending[number] = request
        if (!network.send(vm, message)) {
            pending.remove(number)
            return false
        }
        if (pending[number] !== request) return true
        request.timer = environment.schedule(giveUpAt - environment.now()) {
            end(number, RequestEnd.Unanswered("VM $vm did not answer in time"))
        }
        request.endWatch = watches.watch(vm)
        return true
    }

    /** Ignores the answer to request [number]. */
    fun forget(number: Long) {
        remove(number)
    }

    override fun received(vm: VmName, message: PeerMessage) {
        watches.recordSign(vm)
        val outcome = message.outcome ?: return
        if (pending[outcome.number]?.vm == vm) end(outcome.number, RequestEnd.Answered(outcome))
    }

    override fun notSent(vm: VmName, message: PeerMessage) {
        val number = message.run?.number ?: message.transaction?.number ?: return
        end(number, RequestEnd.NotSent)
    }

    override fun disconnected(vm: VmName) {
        watches.remove(vm)
        val lost = pending.filterValues { it.vm == vm }.keys.toList()
        lost.forEach { end(it, RequestEnd.Unanswered("the link to VM $vm was lost")) }
    }

    private fun end(number: Long, end: RequestEnd) {
        remove(number)?.done?.invoke(end)
    }

    private fun remove(number: Long): Request? {
        val request = pending.remove(number) ?: return null
        request.timer?.invoke()
        request.endWatch?.invoke()
        return request
    }

    private class Request(val vm: VmName, val done: (RequestEnd) -> Unit) {
        var timer: Cancel? = null
        var endWatch: Cancel? = null
    }

    private companion object {
        /** Time without a message after which a VM that owes an answer is pinged. */
        val PING_AFTER = 150.milliseconds

        /** Time from the ping until the link is dropped; a silent VM is abandoned within 500 ms in all. */
        val DROP_AFTER_PING = 350.milliseconds
    }
}
