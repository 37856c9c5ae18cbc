package dev.kumquatknot.proxy.forwarding

import dev.kumquatknot.core.identity.VmName
import dev.kumquatknot.proxy.fleet.HelloPayload
import dev.kumquatknot.proxy.fleet.PeerMessage
import io.netty.buffer.ByteBuf
import io.netty.channel.Channel

/** The link to [vm]. Messages are queued until it is open. */
internal class PeerLink(val vm: VmName) {
    private val queue = ArrayDeque<Pair<PeerMessage, ByteBuf>>()
    private var queuedBytes = 0

    /** The channel in use; null before it is created. */
    var channel: Channel? = null

    /** Hello of the other VM on this link; null before it was received. */
    var hello: HelloPayload? = null

    /** Whether the other VM has answered the hello. */
    var isOpen = false
        private set

    /** Sends [message], encoded as [frame], or queues it; returns false if too much is waiting already. */
    fun send(message: PeerMessage, frame: ByteBuf): Boolean {
        val current = channel
        return when {
            isOpen && current != null -> current.isWritable.also { if (it) write(current, frame) }
            queue.size >= MAXIMUM_QUEUED || queuedBytes + frame.readableBytes() > MAXIMUM_QUEUED_BYTES -> false
            else -> {
                queue += message to frame
                queuedBytes += frame.readableBytes()
                true
            }
        }
    }

    /** Sends what is queued; from now on nothing is queued any more. */
    fun open() {
        isOpen = true
        queue.forEach { (_, frame) -> channel?.let { write(it, frame) } }
        queue.clear()
    }

    /** Returns the queued messages, which were not sent, and forgets them. */
    fun takeQueue(): List<PeerMessage> = queue.map { (message, _) -> message }.also { queue.clear() }

    /** Queues what is queued here at [other] instead. */
    fun moveQueueTo(other: PeerLink) {
        queue.forEach { (message, frame) -> other.send(message, frame) }
        queue.clear()
    }

    private fun write(target: Channel, frame: ByteBuf) {
        target.writeAndFlush(frame, target.voidPromise())
    }

    private companion object {
        /** Limits of what waits for a link to open, which takes at most 500 ms. */
        const val MAXIMUM_QUEUED = 512
        const val MAXIMUM_QUEUED_BYTES = 2 * PeerCodec.MAXIMUM_BYTES
    }
}
