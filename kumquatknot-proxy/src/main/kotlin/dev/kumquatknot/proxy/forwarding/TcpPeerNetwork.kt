package dev.kumquatknot.proxy.forwarding

import dev.kumquatknot.core.identity.VmName
import dev.kumquatknot.core.time.Clock
import dev.kumquatknot.proxy.event.Event
import dev.kumquatknot.proxy.event.EventLog
import dev.kumquatknot.proxy.fleet.HelloPayload
import dev.kumquatknot.proxy.fleet.PeerListener
import dev.kumquatknot.proxy.fleet.PeerMessage
import dev.kumquatknot.proxy.fleet.PeerNetwork
import dev.kumquatknot.proxy.http.parseSocketAddress
import io.netty.bootstrap.Bootstrap
import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoop
import io.netty.channel.WriteBufferWaterMark
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.channel.socket.nio.NioSocketChannel
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit

/** Name of a VM and the random number of its process. */
internal data class PeerIdentity(val vm: VmName, val run: Long) {
    /** Where the process begins to number its requests: at random, as another process may have used the first ones. */
    val firstRequestNumber: Long get() = run ushr FIRST_NUMBER_SHIFT

    private companion object {
        /** Keeps 48 bits, which take 7 bytes on the wire and leave room for more requests than a process can send. */
        const val FIRST_NUMBER_SHIFT = 16
    }
}

/**
 * Links to other VMs over TCP. All calls and callbacks are on [eventLoop].
 *
 * Two VMs share one link, which the first one to send opens. If both open one at the same time, that of the VM with the
 * lower name is used. The VM that opens a link sends hello and waits for the hello of the other one before it sends
 * anything else: a process that accepts connections but is suspended gets nothing that could run later.
 *
 * @param addressOf the address of a VM as numeric host and port; null if it has none.
 */
internal class TcpPeerNetwork(
    private val self: PeerIdentity,
    private val eventLoop: EventLoop,
    private val clock: Clock,
    private val events: EventLog,
    private val addressOf: (VmName) -> String?,
) : PeerNetwork {
    private val links = HashMap<VmName, PeerLink>()
    private val parkedChannels = HashMap<VmName, PeerChannel>()
    private val reconnectDelays = HashMap<VmName, ReconnectDelay>()
    private val lostVms = HashSet<VmName>()
    private val listeners = ArrayList<PeerListener>()
    private var server: Channel? = null
    private var isClosed = false
    private var hellos = 0L

    /** Accepts links at [address] and returns the address in use. Blocks; not to be called on the event loop. */
    fun listen(address: InetSocketAddress): InetSocketAddress {
        val bound = ServerBootstrap().group(eventLoop)
            .channel(NioServerSocketChannel::class.java)
            .option(ChannelOption.SO_REUSEADDR, true)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, WATER_MARK)
            .childHandler(PeerPipeline { PeerChannel(link = null).also(::expectHello) })
            .bind(address).sync().channel()
        server = bound
        return bound.localAddress() as InetSocketAddress
    }

    /** Closes all links and accepts no more. */
    fun close() {
        isClosed = true
        server?.close()
        parkedChannels.values.toList().forEach { it.close() }
        links.values.toList().forEach { lose(it, "this VM stops") }
    }

    override fun addListener(listener: PeerListener) {
        listeners += listener
    }

    override fun send(vm: VmName, message: PeerMessage): Boolean {
        val frame = PeerCodec.encode(message) ?: return false
        val link = links[vm] ?: open(vm) ?: return false
        return link.send(message, frame)
    }

    /** Drops the link to [vm], which is silent, and counts it as lost. */
    fun drop(vm: VmName) {
        val link = links[vm] ?: return
        if (link.isOpen) recordFailure(vm)
        lose(link, "it is silent")
    }

    private fun open(vm: VmName): PeerLink? {
        val address = addressOf(vm)?.let(::parseSocketAddress)
        if (address == null || !mayOpen(vm)) return null
        val link = PeerLink(vm)
        val future = Bootstrap().group(eventLoop)
            .channel(NioSocketChannel::class.java)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
            .option(ChannelOption.WRITE_BUFFER_WATER_MARK, WATER_MARK)
            .handler(PeerPipeline { PeerChannel(link) })
            .connect(address)
        link.channel = future.channel()
        links[vm] = link
        future.addListener {
            val failure = it.cause()
            if (failure == null) {
                future.channel().writeHello()
            } else {
                // Later, so that no listener is called while it sends.
                eventLoop.execute { lose(link, failure.message ?: failure.toString()) }
            }
        }
        schedule(CONNECT_TIMEOUT_MILLIS) { if (!link.isOpen) lose(link, "it did not answer the hello") }
        return link
    }

    private fun mayOpen(vm: VmName): Boolean {
        val isDelayed = reconnectDelays[vm]?.mayConnect(clock.elapsed()) == false
        return !isClosed && vm != self.vm && !isDelayed
    }

    private fun expectHello(channel: PeerChannel) =
        schedule(HELLO_TIMEOUT_MILLIS) { if (channel.link == null && channel.parkedFor == null) channel.close() }

    private fun schedule(delayMillis: Int, task: () -> Unit) {
        eventLoop.schedule(task, delayMillis.toLong(), TimeUnit.MILLISECONDS)
    }

    /** Uses [channel], on which [vm] said [hello], unless this VM's own attempt to open a link has precedence. */
    private fun accept(vm: VmName, channel: PeerChannel, hello: HelloPayload) {
        val known = links[vm]
        channel.hello = hello
        if (known != null && known.isOpen && known.hello.isLaterThan(hello)) {
            // An attempt that the other VM has given up since, in favour of the link that is in use.
            channel.close()
        } else if (known != null && !known.isOpen && self.vm < vm) {
            // Kept until this VM's own attempt has succeeded, as that may fail.
            channel.parkedFor = vm
            parkedChannels.put(vm, channel)?.close()
        } else {
            use(vm, channel, known)
        }
    }

    private fun HelloPayload?.isLaterThan(other: HelloPayload) =
        this != null && run == other.run && sequence > other.sequence

    private fun use(vm: VmName, accepted: PeerChannel, replaced: PeerLink?) {
        val link = PeerLink(vm)
        link.channel = accepted.channel
        link.hello = accepted.hello
        accepted.link = link
        accepted.parkedFor = null
        links[vm] = link
        accepted.channel?.writeHello()
        if (replaced != null) {
            replaced.channel?.close()
            replaced.moveQueueTo(link)
            if (replaced.isOpen) reportLoss(replaced, "it opened another link")
        }
        setOpen(link)
    }

    private fun setOpen(link: PeerLink) {
        reconnectDelays.remove(link.vm)
        if (lostVms.remove(link.vm)) events.log(Event.PEER_FOUND, "peer" to link.vm.value)
        parkedChannels.remove(link.vm)?.close()
        link.open()
    }

    private fun recordFailure(vm: VmName) =
        reconnectDelays.getOrPut(vm) { ReconnectDelay() }.recordFailure(clock.elapsed())

    private fun lose(link: PeerLink, detail: String) {
        link.channel?.close()
        if (!links.remove(link.vm, link)) return
        val parked = parkedChannels.remove(link.vm)
        if (!isClosed && !link.isOpen && parked?.channel?.isActive == true) return use(link.vm, parked, link)
        parked?.close()
        if (!link.isOpen) recordFailure(link.vm)
        reportLoss(link, detail)
    }

    private fun reportLoss(link: PeerLink, detail: String) {
        if (lostVms.add(link.vm)) events.log(Event.PEER_LOST, "peer" to link.vm.value, "detail" to detail)
        val unsent = link.takeQueue()
        notifyListeners { listener ->
            unsent.forEach { listener.notSent(link.vm, it) }
            listener.disconnected(link.vm)
        }
    }

    private fun notifyListeners(task: (PeerListener) -> Unit) =
        listeners.toList().forEach { listener -> events.runStep("message of another VM") { task(listener) } }

    private fun Channel.writeHello() {
        PeerCodec.encode(PeerMessage(hello = HelloPayload(self.vm.value, self.run, ++hellos)))?.let(::writeAndFlush)
    }

    /** One channel; [link] is null until the other VM, which opened it, has said hello. */
    private inner class PeerChannel(var link: PeerLink?) : PeerChannelEvents {
        var channel: Channel? = link?.channel
        var parkedFor: VmName? = null
        var hello: HelloPayload? = null

        fun close() {
            channel?.close()
        }

        override fun opened(channel: Channel) {
            this.channel = channel
        }

        override fun received(message: PeerMessage) {
            val current = link
            val hello = message.hello
            when {
                current == null || !current.isOpen -> {
                    requireNotNull(hello) { "the first message is no hello" }
                    saidHello(hello, current)
                }
                links[current.vm] === current -> notifyListeners { it.received(current.vm, message) }
            }
        }

        private fun saidHello(hello: HelloPayload, current: PeerLink?) {
            require(hello.vm.isNotEmpty() && hello.vm != self.vm.value) { "the hello names no other VM" }
            if (current == null) {
                if (parkedFor == null) accept(VmName(hello.vm), this, hello)
            } else {
                require(hello.vm == current.vm.value) { "the VM at the address is ${hello.vm}" }
                current.hello = hello
                if (links[current.vm] === current) setOpen(current)
            }
        }

        override fun malformed(cause: Throwable) {
            events.log(
                Event.PEER_MESSAGE_INVALID,
                "peer" to link?.vm?.value,
                "address" to channel?.remoteAddress()?.toString(),
                cause = cause,
            )
            link?.let { lose(it, "a message could not be read") }
        }

        override fun closed() {
            parkedFor?.let { parkedChannels.remove(it, this) }
            link?.let { lose(it, "the link was closed") }
        }
    }

    private companion object {
        const val BACKLOG = 512

        /** For the connection and the answer to the hello together; a VM in another region answers within 32 ms. */
        const val CONNECT_TIMEOUT_MILLIS = 500
        const val HELLO_TIMEOUT_MILLIS = 2_000

        /** Bytes written to a link but not sent at which it takes no more; several messages of the maximum size. */
        val WATER_MARK = WriteBufferWaterMark(2 * PeerCodec.MAXIMUM_BYTES, 4 * PeerCodec.MAXIMUM_BYTES)
    }
}
