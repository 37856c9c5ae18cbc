package dev.kumquatknot.app.process

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Tag
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isTrue
import java.io.IOException
import java.net.ConnectException
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

@Tag("processes")
class ProcessSpec {
    private val fleet = ProcessFleet()
    private val http = HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(2)).build()

    @AfterEach
    fun close() = fleet.close()

    private fun send(
        node: NodeProcess,
        path: String,
        kind: String,
        sql: String,
        session: String?,
    ): HttpResponse<String> {
        val body = if (sql.isEmpty()) "" else """{"statements":[{"text":"$sql"}]}"""
        val request = HttpRequest.newBuilder(URI("${node.address}/v1/databases/inventory/$path"))
            .timeout(Duration.ofSeconds(20))
            .header("Authorization", "Bearer ${ProcessFleet.TEAM_KEY}")
            .header("Kumquatknot-Kind", kind)
            .POST(HttpRequest.BodyPublishers.ofString(body))
        session?.let { request.header("Kumquatknot-Session", it) }
        return http.send(request.build(), HttpResponse.BodyHandlers.ofString())
    }

    private fun HttpResponse<String>.session(): String = headers().firstValue("Kumquatknot-Session").get()

    private fun write(node: NodeProcess, id: String, session: String? = null) =
        send(node, "write", "book", "INSERT INTO item (id, quantity) VALUES ('$id', 1)", session)

    private fun read(node: NodeProcess, id: String, session: String?) =
        send(node, "read", "look-up", "SELECT quantity FROM item WHERE id = '$id'", session)

    @Test
    fun `a node killed during a transaction rolls back that transaction and loses no committed write`() {
        val written = write(fleet.nodes[0], "before")
        expectThat(written.statusCode()).isEqualTo(200)
        val opened = send(fleet.nodes[0], "transactions", "book", "", written.session())
        val handle = Regex("\"transaction\":\"([^\"]+)\"").find(opened.body())!!.groupValues[1]
        val insert = "INSERT INTO item (id, quantity) VALUES ('inside', 1)"
        expectThat(send(fleet.nodes[1], "transactions/$handle", "book", insert, null).statusCode()).isEqualTo(200)
        val owner = fleet.nodes[0]
        owner.process.destroyForcibly().waitFor()
        val commit = send(fleet.nodes[1], "transactions/$handle/commit", "book", "", written.session())
        expectThat(commit.body()).contains("\"effect\":\"not-run\"")
        expectThat(read(fleet.nodes[1], "inside", written.session()).body()).contains("\"rows\":[]")
        expectThat(read(fleet.nodes[2], "before", written.session()).body()).contains("\"rows\":[[1]]")
        expectThat(write(fleet.nodes[2], "after", written.session()).statusCode()).isEqualTo(200)
    }

    @Test
    fun `a paused node is replaced by its peers and serves the writes that it missed after it resumes`() {
        val paused = fleet.nodes[0]
        expectThat(write(paused, "before").statusCode()).isEqualTo(200)
        paused.sendSignal("STOP")
        val written = write(fleet.nodes[1], "meanwhile")
        expectThat(written.statusCode()).isEqualTo(200)
        Thread.sleep(PAUSE_MILLIS)
        paused.sendSignal("CONT")
        expectThat(read(paused, "meanwhile", written.session()).body()).contains("\"rows\":[[1]]")
        val second = write(paused, "after", written.session())
        expectThat(second.statusCode()).isEqualTo(200)
        expectThat(read(fleet.nodes[2], "after", second.session()).body()).contains("\"rows\":[[1]]")
    }

    @Test
    fun `a node that stops gracefully under load interrupts no request`() {
        val node = fleet.nodes[0]
        val stop = AtomicBoolean()
        val answered = AtomicInteger()
        val failures = ConcurrentLinkedQueue<String>()
        val callers = List(8) { caller ->
            thread {
                var number = 0
                while (!stop.get()) {
                    try {
                        val response = write(node, "load-$caller-${number++}")
                        if (response.statusCode() == 200) answered.incrementAndGet() else failures += response.body()
                    } catch (_: ConnectException) {
                        stop.set(true)
                    } catch (failure: IOException) {
                        failures += failure.toString()
                    }
                }
            }
        }
        Thread.sleep(PAUSE_MILLIS)
        val before = answered.get()
        node.process.destroy()
        expectThat(node.process.waitFor(40, TimeUnit.SECONDS)).isTrue()
        stop.set(true)
        callers.forEach { it.join() }
        val duringStop = answered.get() - before
        println("ProcessSpec: $before writes answered before the stop, $duringStop during it, cut off $failures")
        expectThat(before).isGreaterThan(0)
        expectThat(failures.toList()).isEmpty()
    }

    private companion object {
        const val PAUSE_MILLIS = 4_000L
    }
}
