package dev.kumquatknot.proxy.adapter.jdbc

import dev.kumquatknot.core.history.LogPosition
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull

class LogSequenceNumberSpec {
    @Test
    fun `parses and formats both halves`() {
        listOf("16/B374D848", "0/0", "0/1", "7FFFFFFF/FFFFFFFF", "1/0").forEach { text ->
            expectThat(LogSequenceNumber.parse(text)?.let(LogSequenceNumber::format)).isEqualTo(text)
        }
        expectThat(LogSequenceNumber.parse("1/2")).isEqualTo(LogPosition(0x1_0000_0002))
        expectThat(LogSequenceNumber.parse("a/0000b")).isEqualTo(LogPosition(0xA_0000_000B))
    }

    @Test
    fun `returns null for text that is not a log sequence number`() {
        listOf("", "1", "/1", "1/", "1/2/3", "g/1", "123456789/1", "-1/1", "FFFFFFFF/0").forEach { text ->
            expectThat(LogSequenceNumber.parse(text)).describedAs(text).isNull()
        }
    }
}
