package dev.kumquatknot.proxy.http

import org.http4k.core.HttpHandler
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.http4k.server.Http4kServer
import org.http4k.server.asServer
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.endsWith
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue
import strikt.assertions.startsWith
import java.io.IOException
import java.net.InetAddress
import java.net.Socket
import java.net.SocketException
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

@Timeout(60)
class WorkerPoolServerSpec {
    private val release = CountDownLatch(1)
    private val entered = CountDownLatch(1)
    private var server: Http4kServer? = null
    private var config: WorkerPoolServer? = null
    private val sockets = mutableListOf<Socket>()

    private fun echo(request: Request) = Response(Status.OK).body("${request.uri.path}:${request.bodyString()}")

    private val blocking: HttpHandler = { request ->
        if (request.uri.path.startsWith("/slow")) {
            entered.countDown()
            release.await(30, TimeUnit.SECONDS)
        }
        echo(request)
    }

    private fun start(settings: WorkerPoolSettings = WorkerPoolSettings(), handler: HttpHandler = blocking): Int {
        val ownConfig = WorkerPoolServer(settings.copy(address = "127.0.0.1"))
        config = ownConfig
        val started = handler.asServer(ownConfig).start()
        server = started
        return started.port()
    }

    private fun connect(port: Int): Socket =
        Socket(InetAddress.getLoopbackAddress(), port).also {
            it.soTimeout = 20_000
            sockets += it
        }

    private fun Socket.send(text: String) {
        getOutputStream().write(text.toByteArray())
        getOutputStream().flush()
    }

    private fun get(path: String) = "GET $path HTTP/1.1\r\nHost: a\r\n\r\n"

    /** Reads one answer: the status line, the headers and as many bytes of body as it has. */
    private fun Socket.answer(): String {
        val head = StringBuilder()
        while (!head.endsWith("\r\n\r\n")) {
            val byte = getInputStream().read()
            if (byte < 0) throw IOException("closed after: $head")
            head.append(byte.toChar())
        }
        val length = Regex("(?i)content-length: (\\d+)").find(head)!!.groupValues[1].toInt()
        return head.toString() + String(getInputStream().readNBytes(length))
    }

    private fun Socket.isClosedByPeer(): Boolean =
        try {
            getInputStream().read() < 0
        } catch (_: IOException) {
            true
        }

    @AfterEach
    fun tearDown() {
        release.countDown()
        sockets.forEach { it.close() }
        server?.stop()
    }

    @Nested
    inner class `answers of one connection` {
        @Test
        fun `keep the order of pipelined requests even when the first is slow`() {
            val socket = connect(start())
            socket.send(get("/slow") + (1..20).joinToString("") { get("/fast-$it") })
            entered.await(10, TimeUnit.SECONDS)
            release.countDown()
            expectThat(socket.answer()).endsWith("/slow:")
            (1..20).forEach { expectThat(socket.answer()).endsWith("/fast-$it:") }
        }

        @Test
        fun `never reach another connection`() {
            val port = start()
            val slow = connect(port).also { it.send(get("/slow-1")) }
            entered.await(10, TimeUnit.SECONDS)
            val other = connect(port).also { it.send(get("/fast-2")) }
            expectThat(other.answer()).endsWith("/fast-2:")
            slow.close()
            release.countDown()
            other.send(get("/fast-3"))
            expectThat(other.answer()).endsWith("/fast-3:")
        }
    }

    @Nested
    inner class `the pool of workers` {
        @Test
        fun `runs no more requests at once than it has workers`() {
            val running = AtomicInteger()
            val most = AtomicInteger()
            val handler: HttpHandler = { request ->
                most.accumulateAndGet(running.incrementAndGet(), ::maxOf)
                Thread.sleep(5)
                running.decrementAndGet()
                echo(request)
            }
            val port = start(WorkerPoolSettings(workers = 2, spareWorkers = 1), handler)
            val answers =
                (1..30).map { number ->
                    CompletableFuture.supplyAsync {
                        val socket = Socket(InetAddress.getLoopbackAddress(), port).also { it.soTimeout = 20_000 }
                        socket.use {
                            it.send(get("/$number"))
                            it.answer()
                        }
                    }
                }
            answers.forEachIndexed { index, answer ->
                expectThat(answer.get(20, TimeUnit.SECONDS)).endsWith("/${index + 1}:")
            }
            expectThat(most.get() <= 3).isTrue()
        }
    }

    @Nested
    inner class `limits` {
        @Test
        fun `a body beyond the limit is answered and the connection closed`() {
            val socket = connect(start(WorkerPoolSettings(maximumBodyBytes = 10)))
            socket.send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 11\r\n\r\nabcdefghijk")
            expectThat(socket.answer()).startsWith("HTTP/1.1 413").contains("urn:kumquatknot:problem:too-large")
            expectThat(socket.isClosedByPeer()).isTrue()
        }

        @Test
        fun `headers beyond the limit are answered and the connection closed`() {
            val socket = connect(start(WorkerPoolSettings(maximumHeaderBytes = 200)))
            socket.send("GET / HTTP/1.1\r\nHost: a\r\nX: ${"x".repeat(300)}\r\n\r\n")
            expectThat(socket.answer()).startsWith("HTTP/1.1 431")
            expectThat(socket.isClosedByPeer()).isTrue()
        }

        @Test
        fun `input that is no HTTP is answered and the connection closed`() {
            val socket = connect(start())
            socket.send("\u0001\u0002 nonsense\r\n\r\n")
            expectThat(socket.answer()).startsWith("HTTP/1.1 400")
            expectThat(socket.isClosedByPeer()).isTrue()
        }

        @Test
        fun `an idle connection is closed, one that waits for its answer is not`() {
            val port = start(WorkerPoolSettings(idleTime = 200.milliseconds))
            val waiting = connect(port).also { it.send(get("/slow")) }
            entered.await(10, TimeUnit.SECONDS)
            expectThat(connect(port).isClosedByPeer()).isTrue()
            release.countDown()
            expectThat(waiting.answer()).endsWith("/slow:")
        }

        @Test
        fun `a request that trickles in is answered and the connection closed`() {
            val socket = connect(start(WorkerPoolSettings(receiveTime = 100.milliseconds)))
            socket.send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nabc")
            expectThat(socket.answer()).startsWith("HTTP/1.1 408")
            expectThat(socket.isClosedByPeer()).isTrue()
        }

        @Test
        fun `connections beyond the limit are closed at once`() {
            val port = start(WorkerPoolSettings(connections = 2))
            val kept = List(2) { connect(port).also { it.send(get("/a")) } }
            kept.forEach { expectThat(it.answer()).endsWith("/a:") }
            expectThat(config!!.openConnections).isEqualTo(2)
            expectThat(connect(port).isClosedByPeer()).isTrue()
            kept[0].send(get("/b"))
            expectThat(kept[0].answer()).endsWith("/b:")
        }
    }

    @Nested
    inner class `random bytes` {
        private val seed = System.getProperty("kumquatknot.seed")?.toLong() ?: 20_261_204L
        private val starts = listOf("", "GET ", "POST / HTTP/1.1\r\n", "GET / HTTP/1.1\r\nContent-Length: ", get("/a"))

        @Test
        fun `get a typed answer or a closed connection, and never an error of the server`() {
            val port = start(WorkerPoolSettings(maximumBodyBytes = 1_000, maximumHeaderBytes = 500))
            val random = Random(seed)
            repeat(300) { round ->
                val bytes = starts.random(random).toByteArray() + random.nextBytes(random.nextInt(1, 1_500))
                val received =
                    Socket(InetAddress.getLoopbackAddress(), port).use { socket ->
                        socket.soTimeout = 20_000
                        try {
                            socket.getOutputStream().write(bytes + "\r\n\r\n".toByteArray())
                            socket.shutdownOutput()
                            String(socket.getInputStream().readAllBytes())
                        } catch (failure: SocketException) {
                            "closed: ${failure.message}"
                        }
                    }
                val statuses = Regex("HTTP/1.1 (\\d+)").findAll(received).map { it.groupValues[1] }.toSet()
                expectThat(
                    statuses - setOf("200", "400", "413", "431"),
                ).describedAs("seed $seed, round $round").isEmpty()
            }
            expectThat(connect(port).also { it.send(get("/after")) }.answer()).endsWith("/after:")
        }
    }

    @Nested
    inner class `a graceful stop` {
        @Test
        fun `finishes what is in flight and refuses new connections`() {
            val port = start(WorkerPoolSettings(lingerTime = 50.milliseconds, stopTimeout = 20.seconds))
            val busy = connect(port).also { it.send(get("/slow")) }
            entered.await(10, TimeUnit.SECONDS)
            val stopping = CompletableFuture.runAsync { server!!.stop() }
            while (canConnect(port)) Thread.sleep(5)
            release.countDown()
            expectThat(busy.answer()).contains("connection: close").endsWith("/slow:")
            expectThat(busy.isClosedByPeer()).isTrue()
            stopping.get(20, TimeUnit.SECONDS)
        }

        @Test
        fun `still answers on open connections while it lingers`() {
            val port = start(WorkerPoolSettings(lingerTime = 2.seconds))
            val idle = connect(port).also { it.send(get("/a")) }
            idle.answer()
            val stopping = CompletableFuture.runAsync { server!!.stop() }
            while (canConnect(port)) Thread.sleep(5)
            idle.send(get("/late"))
            expectThat(idle.answer()).contains("connection: close").endsWith("/late:")
            stopping.get(20, TimeUnit.SECONDS)
        }

        @Test
        fun `serves a request that had arrived in part`() {
            val port = start(WorkerPoolSettings(lingerTime = 500.milliseconds))
            val partial = connect(port).also {
                it.send("POST /part HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nab")
            }
            connect(port).also { it.send(get("/a")) }.answer()
            val stopping = CompletableFuture.runAsync { server!!.stop() }
            while (canConnect(port)) Thread.sleep(5)
            Thread.sleep(700)
            partial.send("cd")
            expectThat(partial.answer()).endsWith("/part:abcd")
            stopping.get(20, TimeUnit.SECONDS)
        }

        @Test
        fun `gives up on requests that do not end in time`() {
            val port = start(WorkerPoolSettings(lingerTime = 10.milliseconds, stopTimeout = 100.milliseconds))
            connect(port).send(get("/slow"))
            entered.await(10, TimeUnit.SECONDS)
            val stopping = CompletableFuture.runAsync { server!!.stop() }
            stopping.get(20, TimeUnit.SECONDS)
            expectThat(canConnect(port)).isEqualTo(false)
        }

        private fun canConnect(port: Int): Boolean =
            try {
                Socket(InetAddress.getLoopbackAddress(), port).use { true }
            } catch (_: IOException) {
                false
            }
    }
}
