package dev.kumquatknot.proxy.event

import ch.qos.logback.classic.Level
import ch.qos.logback.classic.Logger
import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.read.ListAppender
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import net.logstash.logback.encoder.LogstashEncoder
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import org.slf4j.LoggerFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import java.nio.file.Path
import kotlin.io.path.readLines

class EventSpec {
    @Nested
    inner class `the catalogue` {
        @Test
        fun `has unique numbers`() {
            expectThat(Event.entries.map { it.number }.toSet().size).isEqualTo(Event.entries.size)
        }

        @Test
        fun `matches the documented catalogue`() {
            val documented =
                Path.of("../docs/EVENTS.md").readLines()
                    .filter { Regex("\\| \\d+ .*").matches(it) }
                    .map { line -> line.trim('|', ' ').split('|').take(4).map { it.trim() } }
            val coded = Event.entries.map { listOf("${it.number}", it.name, "${it.level}", it.text) }
            expectThat(documented).isEqualTo(coded.sortedBy { it.first().toInt() })
        }
    }

    @Nested
    inner class `a logged event` {
        @Test
        fun `is one JSON object with its number and fields`() {
            val name = "dev.kumquatknot.events.test"
            val logger = LoggerFactory.getLogger(name) as Logger
            val appender = ListAppender<ILoggingEvent>().also { it.start() }
            logger.level = Level.INFO
            logger.addAppender(appender)
            EventLog(KotlinLogging.logger(name)).log(Event.PRIMARY_LOST, "database" to "inventory-1", "term" to 3L)
            logger.detachAppender(appender)
            val encoder = LogstashEncoder().also { it.context = LoggerContext() }
            encoder.start()
            val line = Json.parseToJsonElement(String(encoder.encode(appender.list.single()))).jsonObject
            val fields = listOf("event", "eventName", "database", "term", "level", "message")
            expectThat(fields.map { line.getValue(it).jsonPrimitive.content })
                .isEqualTo(listOf("300", "PRIMARY_LOST", "inventory-1", "3", "WARN", Event.PRIMARY_LOST.text))
        }
    }

    @Nested
    inner class `a step of a loop` {
        /** Such a step once ended its thread for good, as only exceptions were caught. */
        @Test
        fun `that exceeds the stack counts as broken and the loop goes on`() {
            val events = EventLog()
            expectThat(events.runStep("recursion") { recurse(0) }).isFalse()
            expectThat(events.runStep("next") {}).isTrue()
        }

        private fun recurse(depth: Int): Int = recurse(depth + 1) + depth
    }
}
