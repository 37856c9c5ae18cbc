package dev.kumquatknot.proxy.http

import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import java.net.InetSocketAddress

class SocketAddressesSpec {
    @Nested
    inner class `an address` {
        @Test
        fun `has an IP number and a port`() {
            listOf("10.0.0.7" to "10.0.0.7:5432", "::1" to "[::1]:5432").forEach { (host, text) ->
                expectThat(parseSocketAddress(text)).isEqualTo(InetSocketAddress(host, 5432))
            }
        }

        @Test
        fun `with a name, or a port that is missing or out of range, is none`() {
            val ports = listOf("", "0", "65536", "99999999999", "x").map { "10.0.0.7:$it" }
            (ports + listOf("", ":80", "10.0.0.7", "host:80")).forEach { expectThat(parseSocketAddress(it)).isNull() }
        }
    }
}
