package dev.kumquatknot.proxy.http

import io.netty.util.internal.PlatformDependent
import org.http4k.core.HttpHandler
import org.http4k.core.Response
import org.http4k.core.Status
import org.http4k.server.asServer
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import java.lang.management.BufferPoolMXBean
import java.lang.management.ManagementFactory
import java.net.InetSocketAddress
import java.nio.ByteBuffer
import java.nio.channels.SocketChannel
import java.util.concurrent.TimeUnit

/**
 * Measures the cost of idle keep-alive connections: memory per connection and the latency of a request beside them. Not
 * part of the build; run it with `mvn test -pl kumquatknot-proxy -am -Dtest=IdleConnectionMeasurement`.
 */
@Timeout(120)
class IdleConnectionMeasurement {
    private val connections = Integer.getInteger("kumquatknot.connections", 3_700)
    private val handler: HttpHandler = { Response(Status.OK).body("answer") }
    private val request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n".toByteArray()

    @Test
    fun `memory per idle connection and latency of a request beside them`() {
        val server = handler.asServer(WorkerPoolServer(WorkerPoolSettings(address = "127.0.0.1"))).start()
        val address = InetSocketAddress("127.0.0.1", server.port())
        val probe = SocketChannel.open(address)
        repeat(5_000) { exchange(probe) }
        val alone = median(probe)
        val before = memory()
        val idle = List(connections) { SocketChannel.open(address).also(::exchange) }
        val after = memory()
        val beside = median(probe)
        val each = (after - before) / connections
        println("connections $connections, heap and buffers for each $each bytes (both ends of the loopback)")
        println("median request alone ${alone / 1_000} us, beside idle connections ${beside / 1_000} us")
        println("threads ${ManagementFactory.getThreadMXBean().threadCount}")
        idle.forEach { it.close() }
        probe.close()
        server.stop()
    }

    private fun exchange(channel: SocketChannel) {
        channel.write(ByteBuffer.wrap(request))
        val answer = ByteBuffer.allocate(512)
        while (!String(answer.array(), 0, answer.position()).endsWith("answer")) channel.read(answer)
    }

    private fun median(channel: SocketChannel): Long =
        List(5_001) {
            val start = System.nanoTime()
            exchange(channel)
            System.nanoTime() - start
        }.sorted()[2_500]

    private fun memory(): Long {
        repeat(3) {
            System.gc()
            TimeUnit.MILLISECONDS.sleep(200)
        }
        val heap = ManagementFactory.getMemoryMXBean().heapMemoryUsage.used
        val buffers = ManagementFactory.getPlatformMXBeans(BufferPoolMXBean::class.java).sumOf { it.memoryUsed }
        return heap + buffers + PlatformDependent.usedDirectMemory()
    }
}
