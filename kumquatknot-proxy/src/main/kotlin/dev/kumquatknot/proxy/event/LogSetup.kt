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
 * Configures Logback to write one JSON object per line to standard output, through a queue that drops lines instead of
 * blocking.
 *
 * The configuration is code because parsing a configuration file takes 300 ms of CPU time at the start of a node. A
 * file named by the system property `logback.configurationFile` takes precedence. The level is set by
 * `KUMQUATKNOT_LOG_LEVEL`, as a system property or else an environment variable.
 */
public class LogSetup : ContextAwareBase(), Configurator {
    override fun configure(context: LoggerContext): ExecutionStatus {
        val hasFile =
            System.getProperty(CONFIGURATION_FILE_PROPERTY) != null ||
                javaClass.getResource(TEST_CONFIGURATION_RESOURCE) != null
        if (hasFile) return ExecutionStatus.INVOKE_NEXT_IF_ANY
        val queue = AsyncAppender().apply {
            this.context = context
            name = "asynchronous"
            queueSize = QUEUE_LINES
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
        const val CONFIGURATION_FILE_PROPERTY = "logback.configurationFile"
        const val TEST_CONFIGURATION_RESOURCE = "/logback-test.xml"
        const val LEVEL_VARIABLE = "KUMQUATKNOT_LOG_LEVEL"

        /** Capacity of the queue; about one second of log lines when everything is rejected. */
        const val QUEUE_LINES = 4_096
    }
}
