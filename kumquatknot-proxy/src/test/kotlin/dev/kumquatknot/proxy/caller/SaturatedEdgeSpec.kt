package dev.kumquatknot.proxy.caller

import arrow.core.right
import dev.kumquatknot.proxy.caller.CallerApiFixture.Companion.BODY
import dev.kumquatknot.proxy.caller.CallerApiFixture.Companion.DATABASE
import dev.kumquatknot.proxy.caller.CallerApiFixture.Companion.PESEBRE_KEY
import dev.kumquatknot.proxy.http.WorkerPoolServer
import dev.kumquatknot.proxy.http.WorkerPoolSettings
import org.http4k.server.Http4kServer
import org.http4k.server.asServer
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.net.http.HttpResponse.BodyHandlers
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

@Timeout(60)
class SaturatedEdgeSpec {
    private val capacity = 8
    private val api = CallerApiFixture(capacity)
    private val release = CountDownLatch(1)
    private val settings = WorkerPoolSettings(address = "127.0.0.1", workers = capacity, spareWorkers = 2)
    private val server: Http4kServer = api.handler.asServer(WorkerPoolServer(settings)).start()
    private val http = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build()

    init {
        api.answer = {
            if (it.kind.name.value == "browse") release.await(30, TimeUnit.SECONDS)
            api.reply(it).right()
        }
    }

    private fun read(kind: String): CompletableFuture<HttpResponse<String>> {
        val request =
            HttpRequest.newBuilder(URI("http://127.0.0.1:${server.port()}$DATABASE/read"))
                .header("Authorization", "Bearer $PESEBRE_KEY")
                .header("Kumquatknot-Kind", kind)
                .POST(HttpRequest.BodyPublishers.ofString(BODY))
                .build()
        return http.sendAsync(request, BodyHandlers.ofString())
    }

    @AfterEach
    fun tearDown() {
        release.countDown()
        server.stop()
    }

    @Test
    fun `urgent requests are served while background requests block all the workers that they may use`() {
        val backgroundRequests = List(60) { read("browse") }
        while (backgroundRequests.count { it.isDone } + api.limits.inFlight() < backgroundRequests.size) Thread.sleep(5)
        val refused = backgroundRequests.filter { it.isDone }.map { it.get().statusCode() }
        val blocked = backgroundRequests.size - refused.size
        expectThat(refused.toSet()).containsExactly(429)
        expectThat(blocked).isEqualTo(2)

        val urgent = List(20) { read("counter").get(20, TimeUnit.SECONDS).statusCode() }
        expectThat(urgent.toSet()).containsExactly(200)

        release.countDown()
        expectThat(backgroundRequests.map { it.get(20, TimeUnit.SECONDS).statusCode() }.count { it == 200 })
            .isEqualTo(blocked)
    }
}
