package dev.kumquatknot.proxy.forwarding

import dev.kumquatknot.core.identity.VmName
import dev.kumquatknot.proxy.fleet.PeerListener
import dev.kumquatknot.proxy.fleet.PeerMessage
import dev.kumquatknot.proxy.fleet.PeerNetwork
import dev.kumquatknot.proxy.interactive.VirtualLoop
import io.netty.buffer.Unpooled
import kotlin.time.Duration.Companion.milliseconds

/** Links between VMs in virtual time. Messages take a millisecond and are encoded as on the wire. */
internal class FakeFleet(private val loop: VirtualLoop) {
    private val endpoints = HashMap<VmName, Endpoint>()
    private val generations = HashMap<Set<VmName>, Int>()

    /** All messages that were delivered, with their senders. */
    val delivered = ArrayList<Pair<VmName, PeerMessage>>()

    /** VMs that are cut off: their links stay, but nothing reaches them or comes from them until [thaw]. */
    val frozen = HashSet<VmName>()
    private val delayed = HashMap<VmName, MutableList<() -> Unit>>()

    /** VMs to which no link can be opened, which takes a while to be known. */
    val unconnectable = HashSet<VmName>()

    /** VMs to which nothing can be sent. */
    val unreachable = HashSet<VmName>()

    /** Number of links that a VM dropped since the other one was silent. */
    var drops = 0

    fun endpoint(vm: VmName) = Endpoint(vm).also { endpoints[vm] = it }

    /** Resets the link of two VMs; messages that are on their way are lost. */
    fun cut(first: VmName, second: VmName) {
        val pair = setOf(first, second)
        generations[pair] = generation(pair) + 1
        loop.schedule(LATENCY) { reportLoss(first, second) }
        loop.schedule(LATENCY) { reportLoss(second, first) }
    }

    /** Ends the isolation of [vm]; what was on its way to it or from it arrives now, in order. */
    fun thaw(vm: VmName) {
        frozen -= vm
        delayed.remove(vm)?.forEach { it() }
    }

    private fun reportLoss(vm: VmName, lost: VmName) {
        if (vm in frozen) {
            delayed.getOrPut(vm) { ArrayList() } += { reportLoss(vm, lost) }
        } else {
            endpoints[vm]?.listeners?.forEach { it.disconnected(lost) }
        }
    }

    private fun generation(pair: Set<VmName>) = generations[pair] ?: 0

    inner class Endpoint(private val vm: VmName) : PeerNetwork {
        val listeners = ArrayList<PeerListener>()

        override fun addListener(listener: PeerListener) {
            listeners += listener
        }

        override fun send(vm: VmName, message: PeerMessage): Boolean {
            val frame = PeerCodec.encode(message)
            if (vm in unreachable || frame == null) return false
            if (vm in unconnectable) {
                loop.schedule(CONNECT_TIMEOUT) {
                    listeners.forEach { it.notSent(vm, message) }
                    listeners.forEach { it.disconnected(vm) }
                }
                return true
            }
            val pair = setOf(this.vm, vm)
            val generation = generation(pair)
            val decoded = PeerCodec.decode(Unpooled.copiedBuffer(frame))
            loop.schedule(LATENCY) { leave(vm, decoded, generation) }
            return true
        }

        private fun leave(vm: VmName, message: PeerMessage, generation: Int) {
            when {
                this.vm in frozen -> delayed.getOrPut(this.vm) { ArrayList() } += { leave(vm, message, generation) }
                generation == generation(setOf(this.vm, vm)) -> arrive(vm, message)
            }
        }

        /** A cut-off VM finds what has arrived meanwhile, even on a link that the other one has dropped since. */
        private fun arrive(vm: VmName, message: PeerMessage) {
            if (vm in frozen) {
                delayed.getOrPut(vm) { ArrayList() } += { arrive(vm, message) }
            } else {
                delivered += this.vm to message
                endpoints[vm]?.listeners?.forEach { it.received(this.vm, message) }
            }
        }

        fun drop(vm: VmName) {
            drops++
            val pair = setOf(this.vm, vm)
            generations[pair] = generation(pair) + 1
            listeners.forEach { it.disconnected(vm) }
            reportLoss(vm, this.vm)
        }
    }

    private companion object {
        val LATENCY = 1.milliseconds
        val CONNECT_TIMEOUT = 50.milliseconds
    }
}
