package dev.kumquatknot.proxy.event

import ch.qos.logback.classic.AsyncAppender
import ch.qos.logback.classic.Level
import ch.qos.logback.classic.Logger
import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.spi.Configurator
import ch.qos.logback.classic.spi.Configurator.ExecutionStatus
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.ConsoleAppender
import ch.qos.logback.core.spi.ContextAwareBase
import net.logstash.logback.encoder.LogstashEncoder
import net.logstash.logback.fieldnames.LogstashFieldNames

/**
 * Sends one JSON object a line to the standard output, through a queue that drops lines rather than block.
 *
 * It stands in code since parsing a configuration file takes a starting node 300 ms of processor time. A file that the
 * system property `logback.configurationFile` names goes before it. `KUMQUATKNOT_LOG_LEVEL`, a system property or else
 * a variable of the environment, sets the level.
 */
public class LogSetup : ContextAwareBase(), Configurator {
    override fun configure(context: LoggerContext): ExecutionStatus {
        val hasFile = System.getProperty(FILE_PROPERTY) != null || javaClass.getResource(TEST_FILE) != null
        if (hasFile) return ExecutionStatus.INVOKE_NEXT_IF_ANY
        val queue = AsyncAppender().apply {
            this.context = context
            name = "asynchronous"
            queueSize = QUEUE_SIZE
            discardingThreshold = 0
            isNeverBlock = true
            addAppender(console(context))
            start()
        }
        context.getLogger(Logger.ROOT_LOGGER_NAME).apply {
            level = Level.WARN
            addAppender(queue)
        }
        context.getLogger("dev.kumquatknot").level = Level.toLevel(setting(LEVEL_VARIABLE), Level.INFO)
        return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY
    }

    private fun setting(name: String): String? = System.getProperty(name) ?: System.getenv(name)

    private fun console(context: LoggerContext) = ConsoleAppender<ILoggingEvent>().apply {
        this.context = context
        name = "json"
        encoder = LogstashEncoder().also {
            it.context = context
            it.fieldNames = LogstashFieldNames().apply {
                version = null
                levelValue = null
            }
            it.start()
        }
        start()
    }

    private companion object {
        const val FILE_PROPERTY = "logback.configurationFile"
        const val TEST_FILE = "/logback-test.xml"
        const val LEVEL_VARIABLE = "KUMQUATKNOT_LOG_LEVEL"

        /** Lines that may wait; about a second's worth when everything is rejected. */
        const val QUEUE_SIZE = 4_096
    }
}
