package dev.kumquatknot.proxy.event

import io.github.oshai.kotlinlogging.KLogger
import io.github.oshai.kotlinlogging.KotlinLogging

/**
 * Writes events as structured log lines: the field `event` holds the number, `eventName` the name, and the variable
 * parts are separate fields. [LogSetup] writes each line as one JSON object to standard output. The logger is created
 * by the first event, so that a starting node listens before it initialises logging.
 */
public class EventLog(logger: KLogger? = null) {
    private val logger by lazy { logger ?: KotlinLogging.logger("dev.kumquatknot.events") }

    /** Logs [event] with its variable parts in [fields] and an optional [cause]. */
    public fun log(event: Event, vararg fields: Pair<String, Any?>, cause: Throwable? = null) {
        logger.at(event.level) {
            message = event.text
            this.cause = cause
            payload = mapOf("event" to event.number, "eventName" to event.name) + fields
        }
    }

    /**
     * Runs [task], a step of a loop or of a periodic task that must go on; returns whether it ended normally. An
     * unexpected exception is logged, an interrupt is passed on. A [StackOverflowError] is logged, too: it comes from
     * input that is nested deeply, and leaves the thread as it was.
     */
    @Suppress("TooGenericExceptionCaught") // Any exception would end the loop for good.
    public fun runStep(name: String, task: () -> Unit): Boolean = try {
        task()
        true
    } catch (interrupt: InterruptedException) {
        throw interrupt
    } catch (unexpected: Exception) {
        log(Event.TASK_BROKEN, "task" to name, cause = unexpected)
        false
    } catch (overflow: StackOverflowError) {
        log(Event.TASK_BROKEN, "task" to name, cause = overflow)
        false
    }
}
