package dev.kumquatknot.proxy.forwarding

import dev.kumquatknot.core.identity.VmName
import dev.kumquatknot.core.time.SystemClock
import dev.kumquatknot.proxy.event.EventLog
import dev.kumquatknot.proxy.fleet.CallPayload
import dev.kumquatknot.proxy.fleet.HelloPayload
import dev.kumquatknot.proxy.fleet.PeerListener
import dev.kumquatknot.proxy.fleet.PeerMessage
import dev.kumquatknot.proxy.fleet.PingPayload
import dev.kumquatknot.proxy.fleet.RunPayload
import io.netty.buffer.ByteBufUtil
import io.netty.buffer.Unpooled
import io.netty.channel.nio.NioEventLoopGroup
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isTrue
import java.io.DataInputStream
import java.io.DataOutputStream
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.measureTime

/** Links over loopback sockets. */
class TcpPeerNetworkSpec {
    private val addresses = ConcurrentHashMap<VmName, String>()
    private val vms = ArrayList<Vm>()
    private val closeables = ArrayList<AutoCloseable>()

    @AfterEach
    fun stop() {
        vms.forEach { it.stop() }
        closeables.forEach { it.close() }
    }

    private inner class Vm(name: String, run: Long = 1) : PeerListener {
        val name = VmName(name)
        val received = CopyOnWriteArrayList<Pair<VmName, PeerMessage>>()
        val lost = CopyOnWriteArrayList<VmName>()
        val notSent = CopyOnWriteArrayList<PeerMessage>()
        private val loops = NioEventLoopGroup(1)
        private val loop = loops.next()
        private val network =
            TcpPeerNetwork(PeerIdentity(this.name, run), loop, SystemClock, EventLog(), addresses::get)

        init {
            vms += this
            network.addListener(this)
            val address = network.listen(InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
            addresses[this.name] = "127.0.0.1:${address.port}"
        }

        val numbers get() = received.mapNotNull { it.second.ping?.number }

        fun send(to: String, message: PeerMessage): Boolean = onLoop { network.send(VmName(to), message) }

        fun ping(to: String, number: Long) = send(to, PeerMessage(ping = PingPayload(number)))

        fun drop(vm: String) = onLoop { network.drop(VmName(vm)) }

        fun stop() {
            onLoop { network.close() }
            loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync()
        }

        private fun <T> onLoop(task: () -> T): T = loop.submit<T> { task() }.get()

        override fun received(vm: VmName, message: PeerMessage) {
            received += vm to message
        }

        override fun notSent(vm: VmName, message: PeerMessage) {
            notSent += message
        }

        override fun disconnected(vm: VmName) {
            lost += vm
        }
    }

    /** A peer that speaks the protocol by hand. */
    private inner class RawPeer(to: Vm) {
        private val port = addresses.getValue(to.name).substringAfter(':').toInt()
        private val socket = Socket(InetAddress.getLoopbackAddress(), port).also { closeables += it }
        private val output = DataOutputStream(socket.getOutputStream())
        private val input = DataInputStream(socket.getInputStream())

        init {
            socket.soTimeout = 3_000
        }

        fun send(message: PeerMessage) = sendFrame(ByteBufUtil.getBytes(PeerCodec.encode(message)))

        fun sendFrame(bytes: ByteArray, length: Int = bytes.size) {
            output.writeInt(length)
            output.write(bytes)
            output.flush()
        }

        fun sayHello(name: String, run: Long = 1, sequence: Long = 1): HelloPayload? {
            sendHello(name, run, sequence)
            return receive().hello
        }

        fun sendHello(name: String, run: Long, sequence: Long) =
            send(PeerMessage(hello = HelloPayload(name, run, sequence)))

        fun receive(): PeerMessage {
            val bytes = ByteArray(input.readInt())
            input.readFully(bytes)
            return PeerCodec.decode(Unpooled.wrappedBuffer(bytes))
        }

        fun isClosedByOther(): Boolean = try {
            input.read() == -1
        } catch (reset: java.net.SocketException) {
            reset.message != null
        }
    }

    private fun await(limit: Duration = 3.seconds, condition: () -> Boolean) {
        val until = SystemClock.elapsed() + limit
        while (!condition()) {
            check(SystemClock.elapsed() < until) { "not reached within $limit" }
            Thread.sleep(1)
        }
    }

    @Nested
    inner class `two VMs` {
        @Test
        fun `exchange messages in order over the link that one of them opened`() {
            val a = Vm("a")
            val b = Vm("b")
            (1..500L).forEach { a.ping("b", it) }
            await { b.received.size == 500 }
            addresses -= a.name
            (1..500L).forEach { expectThat(b.ping("a", it)).isTrue() }
            await { a.received.size == 500 }
            expectThat(b.numbers).isEqualTo((1..500L).toList())
            expectThat(a.numbers).isEqualTo((1..500L).toList())
            expectThat(a.lost + b.lost).isEmpty()
        }

        @Test
        fun `that open a link at the same time keep one and lose no message`() {
            repeat(ROUNDS) { round ->
                val a = Vm("a-$round")
                val b = Vm("b-$round")
                val threads = listOf(a to b, b to a).map { (from, to) ->
                    Thread { (1..50L).forEach { from.ping(to.name.value, it) } }
                }
                threads.forEach { it.start() }
                threads.forEach { it.join() }
                await { a.received.size == 50 && b.received.size == 50 }
                expectThat(a.numbers).isEqualTo((1..50L).toList())
                expectThat(b.numbers).isEqualTo((1..50L).toList())
                expectThat(a.lost + b.lost).isEmpty()
                expectThat(a.notSent + b.notSent).isEmpty()
            }
        }

        @Test
        fun `both learn that the link is lost`() {
            val a = Vm("a")
            val b = Vm("b")
            a.ping("b", 1)
            await { b.received.size == 1 }
            b.drop("a")
            await { a.lost.isNotEmpty() && b.lost.isNotEmpty() }
            a.ping("b", 2)
            await { b.received.size == 2 }
            expectThat(a.lost.toList()).containsExactly(b.name)
            expectThat(b.lost.toList()).containsExactly(a.name)
        }

        @Test
        fun `exchange messages of the maximum size of a statement`() {
            val a = Vm("a")
            val b = Vm("b")
            val message = PeerMessage(run = RunPayload(1, CallPayload(text = "x".repeat(1_048_576))))
            a.send("b", message)
            await { b.received.size == 1 }
            expectThat(b.received.single().second).isEqualTo(message)
        }
    }

    @Nested
    inner class `a malformed message` {
        private fun expectClosed(send: RawPeer.() -> Unit) {
            val a = Vm("a")
            val other = Vm("other")
            other.ping("a", 1)
            val peer = RawPeer(a)
            expectThat(peer.sayHello("b")?.vm).isEqualTo("a")
            peer.send(PeerMessage(ping = PingPayload(2)))
            peer.send()
            expectThat(peer.isClosedByOther()).isTrue()
            await { a.lost.isNotEmpty() }
            expectThat(a.lost.toList()).containsExactly(VmName("b"))
            other.ping("a", 3)
            await { a.received.size == 3 }
            expectThat(a.numbers.sorted()).containsExactly(1L, 2L, 3L)
            expectThat(other.lost).isEmpty()
        }

        @Test
        fun `with truncated content closes its link and no other`() = expectClosed {
            val bytes = ByteBufUtil.getBytes(
                PeerCodec.encode(PeerMessage(run = RunPayload(7, CallPayload(text = "x")))),
            )
            sendFrame(bytes.copyOf(bytes.size - 1))
        }

        @Test
        fun `with random bytes closes its link and no other`() = expectClosed { sendFrame(ByteArray(100) { -1 }) }

        @Test
        fun `that is too long closes its link and no other`() =
            expectClosed { sendFrame(ByteArray(10), length = PeerCodec.MAXIMUM_BYTES + 1) }

        @Test
        fun `is not followed by others`() = expectClosed {
            sendFrame(ByteArray(100) { -1 })
            send(PeerMessage(ping = PingPayload(4)))
        }

        @Test
        fun `in place of the hello closes the link`() {
            val a = Vm("a")
            val peer = RawPeer(a)
            peer.send(PeerMessage(ping = PingPayload(1)))
            expectThat(peer.isClosedByOther()).isTrue()
            expectThat(a.received).isEmpty()
        }
    }

    @Nested
    inner class `a hello` {
        @Test
        fun `of another run replaces the link, which counts as lost`() {
            val a = Vm("a")
            val former = RawPeer(a)
            former.sayHello("b", run = 1)
            val latter = RawPeer(a)
            latter.sayHello("b", run = 2)
            expectThat(former.isClosedByOther()).isTrue()
            await { a.lost.isNotEmpty() }
            expectThat(a.lost.toList()).containsExactly(VmName("b"))
            a.ping("b", 1)
            expectThat(latter.receive().ping?.number).isEqualTo(1)
        }

        @Test
        fun `of the same run replaces the link that the other VM has dropped`() {
            val a = Vm("a")
            RawPeer(a).sayHello("b", run = 1, sequence = 1)
            val latter = RawPeer(a)
            latter.sayHello("b", run = 1, sequence = 2)
            a.ping("b", 1)
            expectThat(latter.receive().ping?.number).isEqualTo(1)
            expectThat(a.lost.toList()).containsExactly(VmName("b"))
        }

        @Test
        fun `that was sent before that of the link in use does not replace it`() {
            val a = Vm("a")
            val used = RawPeer(a)
            used.sayHello("b", run = 1, sequence = 2)
            val givenUp = RawPeer(a)
            givenUp.sendHello("b", run = 1, sequence = 1)
            expectThat(givenUp.isClosedByOther()).isTrue()
            a.ping("b", 1)
            expectThat(used.receive().ping?.number).isEqualTo(1)
            expectThat(a.lost).isEmpty()
        }

        @Test
        fun `of a VM with another name proves that a message would reach the wrong one`() {
            val a = Vm("a")
            val c = Vm("c")
            addresses[VmName("b")] = addresses.getValue(c.name)
            expectThat(a.ping("b", 1)).isTrue()
            await { a.notSent.size == 1 }
            expectThat(a.lost.toList()).containsExactly(VmName("b"))
            expectThat(c.received).isEmpty()
        }
    }

    @Nested
    inner class `a VM that cannot be reached` {
        @Test
        fun `gets nothing if it has no address`() {
            expectThat(Vm("a").ping("unknown", 1)).isFalse()
        }

        @Test
        fun `is not tried again at once after it refused`() {
            val a = Vm("a")
            addresses[VmName("b")] = ServerSocket(0).use { "127.0.0.1:${it.localPort}" }
            expectThat(a.ping("b", 1)).isTrue()
            await { a.notSent.size == 1 && a.lost.size == 1 }
            expectThat(a.ping("b", 2)).isFalse()
            Thread.sleep(300)
            expectThat(a.ping("b", 3)).isTrue()
            await { a.notSent.size == 2 }
        }

        @Test
        fun `certainly got nothing if it accepts the connection but is suspended`() {
            val a = Vm("a")
            val suspended = ServerSocket(0, 10, InetAddress.getLoopbackAddress()).also { closeables += it }
            addresses[VmName("b")] = "127.0.0.1:${suspended.localPort}"
            val message = PeerMessage(run = RunPayload(1, CallPayload(text = "WRITE 1 x")))
            val took = measureTime {
                expectThat(a.send("b", message)).isTrue()
                await { a.notSent.size == 1 }
            }
            expectThat(took).isGreaterThan(450.milliseconds)
            expectThat(took).isLessThan(1.seconds)
            val received = suspended.accept().use { DataInputStream(it.getInputStream()).readAllBytes() }
            expectThat(received.size).isLessThan(20)
        }
    }

    @Test
    fun `a link takes no more messages while the other VM does not read`() {
        val a = Vm("a")
        RawPeer(a).sayHello("b")
        val message = PeerMessage(run = RunPayload(1, CallPayload(text = "x".repeat(1_048_576))))
        val accepted = generateSequence { a.send("b", message) }.take(100).takeWhile { it }.count()
        expectThat(accepted).isGreaterThan(4)
        expectThat(accepted).isLessThan(60)
        expectThat(a.lost).isEmpty()
    }

    private companion object {
        const val ROUNDS = 40
    }
}
