package dev.kumquatknot.proxy.http

import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isSameInstanceAs

class NestingLimitSpec {
    private fun nested(depth: Int, content: String = "") = "[".repeat(depth) + content + "]".repeat(depth)

    @Nested
    inner class `text of the usual depth` {
        @Test
        fun `is returned as it is`() {
            listOf("""{"a":["x"],"b":{"c":[]}}""", nested(NestingLimit.MAXIMUM_DEPTH, "1")).forEach {
                expectThat(NestingLimit.apply(it)).isSameInstanceAs(it)
            }
        }

        @Test
        fun `may have brackets and escaped quotation marks in its strings`() {
            val text = """["${"[".repeat(100)}\\\"${"{".repeat(100)}\\\\",1]"""
            expectThat(NestingLimit.apply(text)).isSameInstanceAs(text)
        }
    }

    @Nested
    inner class `a value that is nested too deeply` {
        @Test
        fun `exceeds the limit, whether it has an end or not`() {
            val texts = listOf(nested(8), nested(9), "[".repeat(9), """["${nested(9)}"]""")
            expectThat(texts.map { NestingLimit.isExceeded(it, 8) }).isEqualTo(listOf(false, true, true, false))
        }

        @Test
        fun `becomes null and what stands beside it stays`() {
            val deep = nested(500_000)
            val atLimit = NestingLimit.MAXIMUM_DEPTH - 1
            expectThat(NestingLimit.apply("""{"odd":$deep,"even":[2],"again":$deep}"""))
                .isEqualTo("""{"odd":${nested(atLimit, "null")},"even":[2],"again":${nested(atLimit, "null")}}""")
        }

        @Test
        fun `becomes null if it has no end`() {
            val limit = "[".repeat(NestingLimit.MAXIMUM_DEPTH)
            expectThat(NestingLimit.apply("[".repeat(1_000))).isEqualTo("${limit}null")
            expectThat(NestingLimit.apply(limit + "[\"open")).isEqualTo("${limit}null")
        }
    }
}
