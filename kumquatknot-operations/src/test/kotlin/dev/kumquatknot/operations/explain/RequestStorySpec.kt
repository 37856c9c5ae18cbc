package dev.kumquatknot.operations.explain

import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull

class RequestStorySpec {
    private fun line(source: String, second: Int, event: String, vararg fields: Pair<String, String>): LogLine {
        val content = fields.joinToString("") { ",\"${it.first}\":\"${it.second}\"" }
        val time = "2026-05-01T10:00:%02dZ".format(second)
        val text = """{"@timestamp":"$time","message":"m","level":"INFO","event":1,"eventName":"$event"$content}"""
        return checkNotNull(LogLine.parse(source, text))
    }

    private val rejected =
        line("vm-1", 20, "STATEMENT_REJECTED", "request" to "r1", "group" to "g", "code" to "IN_DOUBT")

    private fun eventsOf(vararg logs: LogLine) =
        RequestTimeline.of("r1", logs.toList())?.lines?.map { "${it.role} ${it.line.source} ${it.line.event}" }

    @Nested
    inner class `a line of a log` {
        @Test
        fun `may have text before its object`() {
            val text = """12.5 vm-1 {"@timestamp":"2026-05-01T10:00:00Z","eventName":"NODE_STARTED","vm":"v"}"""
            expectThat(LogLine.parse("a", text)).isNotNull().get { fields }.isEqualTo(mapOf("vm" to "v"))
        }

        @Test
        fun `that is no event is passed over`() {
            val others =
                listOf("", "text", "{", "{}", """{"eventName":"X"}""", """{"eventName":"X","@timestamp":"now"}""")
            others.forEach { expectThat(LogLine.parse("a", it)).isNull() }
        }
    }

    @Nested
    inner class `the story of a request` {
        @Test
        fun `is none where no log names it`() {
            expectThat(RequestTimeline.of("r2", listOf(rejected))).isNull()
        }

        @Test
        fun `holds what the deciding VM believed last of the group, and nothing of other groups`() {
            val logs = arrayOf(
                line("vm-1", 1, "PRIMARY_PROVED", "group" to "g", "member" to "a"),
                line("vm-1", 5, "PRIMARY_PROVED", "group" to "g", "member" to "a"),
                line("vm-1", 6, "PRIMARY_PROVED", "group" to "other", "member" to "x"),
                line("vm-2", 7, "PRIMARY_PROVED", "group" to "g", "member" to "b"),
                line("vm-1", 9, "CONFIGURATION_ACCEPTED", "number" to "4"),
                line("vm-1", 25, "PRIMARY_DISPROVED", "group" to "g", "member" to "a"),
                rejected,
            )
            expectThat(eventsOf(*logs)).isNotNull().containsExactly(
                "BELIEF vm-1 PRIMARY_PROVED",
                "BELIEF vm-1 CONFIGURATION_ACCEPTED",
                "DECISION vm-1 STATEMENT_REJECTED",
            )
        }

        @Test
        fun `holds a failover of the group that another VM ordered around that time`() {
            val logs = arrayOf(
                line("vm-2", 1, "FAILOVER_ORDERED", "group" to "g"),
                line("vm-2", 21, "FAILOVER_ORDERED", "group" to "g"),
                line("vm-2", 22, "FAILOVER_ORDERED", "group" to "other"),
                rejected,
            )
            expectThat(eventsOf(*logs)).isNotNull().containsExactly(
                "DECISION vm-1 STATEMENT_REJECTED",
                "ELSEWHERE vm-2 FAILOVER_ORDERED",
            )
        }
    }
}
