package dev.kumquatknot.proxy.adapter.platform

import arrow.core.getOrElse
import dev.kumquatknot.proxy.http.WorkerPoolServer
import dev.kumquatknot.proxy.http.WorkerPoolSettings
import org.http4k.core.Response
import org.http4k.core.Status
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import java.net.URI

class HttpObjectStoreSpec {
    private var body = ""
    private val refused = ArrayList<String>()
    private val server = WorkerPoolServer(WorkerPoolSettings(address = "127.0.0.1"))
        .toServer { Response(Status.OK).body(body) }

    @AfterEach
    fun stop() {
        server.stop()
    }

    private fun entry(name: String, address: String = "\"10.0.0.1:7440\"", more: String = "") =
        """{"name":"$name","dataCentre":"a","address":$address,"state":"LIVE"$more}"""

    private fun listed(vararg entries: String): List<String> {
        body = entries.joinToString(",", "[", "]")
        server.start()
        val store = HttpObjectStore(URI("http://127.0.0.1:${server.port()}")) { refused += it }
        store.vms()
        return store.vms().getOrElse { error("$it") }.map { it.name.value }
    }

    @Nested
    inner class `the list of VMs` {
        /** A single odd entry once made the whole list unreadable. */
        @Test
        fun `has all VMs beside an odd entry`() {
            val deep = "[".repeat(100_000) + "]".repeat(100_000)
            val odd = listOf(
                "7",
                """{"name":"no-address"}""",
                entry("port", address = "\"10.0.0.1:99999\""),
                entry("number", address = "9".repeat(100_000)),
                entry("nested", address = deep),
                deep,
            )
            expectThat(listed(entry("first"), *odd.toTypedArray(), entry("last", more = ",\"newField\":$deep")))
                .containsExactly("first", "last")
            expectThat(refused).contains("the address of port is invalid")
            expectThat(refused.distinct()).isEqualTo(refused)
        }
    }
}
