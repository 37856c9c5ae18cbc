package dev.kumquatknot.standin.platform

import dev.kumquatknot.core.identity.DataCentre
import dev.kumquatknot.core.identity.VmName
import dev.kumquatknot.core.platform.ListedVm
import dev.kumquatknot.core.platform.ObjectVersion
import dev.kumquatknot.core.platform.StoreFailure
import dev.kumquatknot.core.platform.VmState
import dev.kumquatknot.proxy.adapter.platform.HttpObjectStore
import dev.kumquatknot.standin.database.ManualClock
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class PlatformServerSpec {
    private val listed = ListedVm(VmName("vm-1"), DataCentre("mendoza-a"), "127.0.0.1:1", VmState.LIVE)
    private val settings = PlatformStandinSettings(silenceMillis = 0, vmListLagMillis = 0, vms = listOf(listed))
    private val platform = PlatformStandin(settings, ManualClock()) {}
    private val server = PlatformServer(platform).apply { start() }
    private val base = "http://${server.address()}"
    private val store = HttpObjectStore(URI(base), 5.seconds)

    @AfterEach
    fun close() = server.close()

    private fun send(method: String, path: String, body: String = "", vararg headers: String): HttpResponse<String> {
        val request = HttpRequest.newBuilder(URI(base + path))
            .method(method, HttpRequest.BodyPublishers.ofString(body))
        if (headers.isNotEmpty()) request.headers(*headers)
        return HttpClient.newHttpClient().send(request.build(), HttpResponse.BodyHandlers.ofString())
    }

    @Nested
    inner class `the object store over HTTP` {
        @Test
        fun `creates, updates, reads and lists`() {
            val key = "configuration/pampa & litoral/ñ?"
            val created = store.write(key, "one", ObjectVersion.ABSENT).getOrNull()
            expectThat(created?.version).isEqualTo(ObjectVersion(1))
            val updated = store.write(key, "dós", ObjectVersion(1)).getOrNull()
            expectThat(store.read(key).getOrNull()).isNotNull().isEqualTo(updated)
            store.write("other/a", "x", ObjectVersion.ABSENT)
            expectThat(store.readAll("configuration/pampa & ").getOrNull()).isNotNull().containsExactly(updated)
            expectThat(platform.read(key).getOrNull()).isEqualTo(updated)
        }

        @Test
        fun `reads nothing where nothing is`() {
            expectThat(store.read("absent").isRight()).isEqualTo(true)
            expectThat(store.read("absent").getOrNull()).isNull()
        }

        @Test
        fun `shows the current object in a conflict`() {
            val current = store.write("a", "one", ObjectVersion.ABSENT).getOrNull()
            expectThat(store.write("a", "two", ObjectVersion(7)).leftOrNull()).isEqualTo(StoreFailure.Conflict(current))
            expectThat(store.write("b", "two", ObjectVersion(7)).leftOrNull()).isEqualTo(StoreFailure.Conflict(null))
        }

        @Test
        fun `reads the list of VMs, again where it has not changed, and anew where it has`() {
            expectThat(store.vms().getOrNull()).isNotNull().containsExactly(listed)
            expectThat(store.vms().getOrNull()).isNotNull().containsExactly(listed)
            val other = """{"name":"vm-2","dataCentre":"rosario-a","address":"127.0.0.1:2","state":"LEAVING"}"""
            expectThat(send("PUT", "/vms/vm-2", other).statusCode()).isEqualTo(204)
            expectThat(store.vms().getOrNull()?.map { it.name.value }).isEqualTo(listOf("vm-1", "vm-2"))
        }

        @Test
        fun `answers an unchanged list of VMs without its entries`() {
            val tag = send("GET", "/vms").headers().firstValue("ETag").get()
            val again = send("GET", "/vms", "", "If-None-Match", tag)
            expectThat(again.statusCode()).isEqualTo(304)
            expectThat(again.body()).isEqualTo("")
        }
    }

    @Nested
    inner class `a watch over HTTP` {
        @Test
        fun `ends when the object changes and holds up no other call`() {
            val watches = List(16) {
                CompletableFuture.supplyAsync { store.watch("a", ObjectVersion.ABSENT, 30.seconds).getOrNull() }
            }
            store.write("a", "one", ObjectVersion.ABSENT)
            watches.forEach { expectThat(it.get(10, TimeUnit.SECONDS)?.value).isEqualTo("one") }
        }

        @Test
        fun `ends without an object after its timeout`() {
            expectThat(store.watch("a", ObjectVersion.ABSENT, 1.milliseconds).isRight()).isEqualTo(true)
        }
    }

    @Nested
    inner class `a failing platform` {
        @Test
        fun `refuses before the effect`() {
            platform.set(PlatformFault.Refuse)
            expectThat(store.write("a", "one", ObjectVersion.ABSENT).leftOrNull()).isA<StoreFailure.Refused>()
        }

        @Test
        fun `gives no answer in an outage`() {
            platform.set(PlatformFault.Outage)
            expectThat(store.read("a").leftOrNull()).isA<StoreFailure.NoAnswer>()
            expectThat(store.write("a", "one", ObjectVersion.ABSENT).leftOrNull()).isA<StoreFailure.NoAnswer>()
        }

        @Test
        fun `loses an answer after the effect`() {
            platform.set(PlatformFault.LoseWriteAnswers(1))
            expectThat(store.write("a", "one", ObjectVersion.ABSENT).leftOrNull()).isA<StoreFailure.NoAnswer>()
            expectThat(store.read("a").getOrNull()?.value).isEqualTo("one")
        }

        @Test
        fun `is too slow for the timeout`() {
            val slow = PlatformStandin(settings, ManualClock()).also { it.set(PlatformFault.SlowDown(2_000)) }
            PlatformServer(slow).use { slowServer ->
                slowServer.start()
                val impatient = HttpObjectStore(URI("http://${slowServer.address()}"), 200.milliseconds)
                expectThat(impatient.read("a").leftOrNull()).isA<StoreFailure.NoAnswer>()
            }
        }

        @Test
        fun `refuses a value above the limit`() {
            val outcome = store.write("a", "x".repeat(1_048_577), ObjectVersion.ABSENT)
            expectThat(outcome.leftOrNull()).isA<StoreFailure.Refused>()
        }

        @Test
        fun `is refused where nobody listens`() {
            server.close()
            expectThat(store.write("a", "one", ObjectVersion.ABSENT).leftOrNull()).isA<StoreFailure.Refused>()
        }
    }

    @Nested
    inner class `the HTTP interface` {
        @Test
        fun `asks for a precondition`() {
            expectThat(send("PUT", "/objects/a", "one").statusCode()).isEqualTo(428)
            expectThat(send("PUT", "/objects/a", "one", "If-Match", "\"x\"").statusCode()).isEqualTo(428)
            expectThat(platform.read("a").getOrNull()).isNull()
        }

        @Test
        fun `sets faults and counts calls`() {
            expectThat(send("POST", "/faults", """{"type":"refuse"}""").statusCode()).isEqualTo(204)
            expectThat(send("GET", "/objects/a").statusCode()).isEqualTo(503)
            expectThat(send("POST", "/faults", """{"type":"earthquake"}""").statusCode()).isEqualTo(400)
            expectThat(send("GET", "/calls").body()).isEqualTo(
                """{"reads":1,"lists":0,"writes":0,"watches":0,"vmLists":0,"refused":1,"bytesIn":0,"bytesOut":0}""",
            )
        }

        @Test
        fun `answers 429 above the rate`() {
            val narrow = PlatformStandin(settings.copy(readsPerSecond = 1), ManualClock())
            PlatformServer(narrow).use { narrowServer ->
                narrowServer.start()
                val narrowStore = HttpObjectStore(URI("http://${narrowServer.address()}"), 5.seconds)
                expectThat(narrowStore.read("a").isRight()).isEqualTo(true)
                expectThat(narrowStore.read("a").leftOrNull()).isA<StoreFailure.Refused>()
            }
        }

        @Test
        fun `changes the list of VMs`() {
            val body = """{"name":"vm-2","dataCentre":"rosario-a","address":"127.0.0.1:2","state":"LEAVING"}"""
            expectThat(send("PUT", "/vms/vm-2", body).statusCode()).isEqualTo(204)
            expectThat(send("PUT", "/vms/vm-3", body).statusCode()).isEqualTo(400)
            expectThat(send("DELETE", "/vms/vm-1").statusCode()).isEqualTo(204)
        }
    }
}
