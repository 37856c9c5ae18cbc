package dev.kumquatknot.proxy.fleet

import dev.kumquatknot.core.identity.VmName

/**
 * Exchanges messages with the other VMs of the fleet; used on the node's event loop only.
 *
 * A message arrives at most once. Messages to one VM arrive in the order in which they were sent, until its link is
 * lost; those that were on their way then may be lost.
 */
internal interface PeerNetwork {
    /** Sends [message] to [vm], connecting first if necessary. Returns false if [vm] is unknown or can't be reached. */
    fun send(vm: VmName, message: PeerMessage): Boolean

    /** Adds [listener], which is called for all messages and lost links from now on. */
    fun addListener(listener: PeerListener)
}

/** Receives what happens on the links to other VMs. */
internal interface PeerListener {
    /** [vm] sent [message]. */
    fun received(vm: VmName, message: PeerMessage)

    /** [message], which [PeerNetwork.send] accepted for [vm], certainly was not sent, as no link could be opened. */
    fun notSent(vm: VmName, message: PeerMessage) = Unit

    /** The link to [vm] was lost; requests to it that are unanswered will stay so. */
    fun disconnected(vm: VmName) = Unit
}
