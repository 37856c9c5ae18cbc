package dev.kumquatknot.proxy.limit

import ch.qos.logback.classic.Level
import ch.qos.logback.classic.Logger
import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.read.ListAppender
import dev.kumquatknot.proxy.event.Event
import dev.kumquatknot.proxy.event.EventLog
import io.github.oshai.kotlinlogging.KotlinLogging
import net.logstash.logback.encoder.LogstashEncoder
import org.slf4j.LoggerFactory

/** An event log whose lines are kept, as the JSON that a node writes. */
internal class CapturedEvents(name: String) : AutoCloseable {
    private val logger = LoggerFactory.getLogger("dev.kumquatknot.events.$name") as Logger
    private val appender = ListAppender<ILoggingEvent>().also { it.start() }
    private val encoder = LogstashEncoder().also { it.context = LoggerContext() }.also { it.start() }
    val log = EventLog(KotlinLogging.logger(logger.name))

    init {
        logger.level = Level.INFO
        logger.addAppender(appender)
    }

    val lines get() = appender.list.map { String(encoder.encode(it)) }

    fun linesOf(event: Event) = lines.filter { "\"${event.name}\"" in it }

    override fun close() {
        logger.detachAppender(appender)
    }
}
