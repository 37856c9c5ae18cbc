package dev.kumquatknot.proxy.event

import io.github.oshai.kotlinlogging.KLogger
import io.github.oshai.kotlinlogging.KotlinLogging

/**
 * Writes numbered events as structured log lines: the field `event` holds the number, `eventName` the name, and the
 * variable parts are fields of their own. [LogSetup] turns a line into one JSON object on the standard
 * output. The logger is made by the first event, so that a starting node listens before it sets up its log.
 */
public class EventLog(logger: KLogger? = null) {
    private val logger by lazy { logger ?: KotlinLogging.logger("dev.kumquatknot.events") }

    /** Logs [event] with its variable parts [fields] and the [cause], where there is one. */
    public fun log(event: Event, vararg fields: Pair<String, Any?>, cause: Throwable? = null) {
        logger.at(event.level) {
            message = event.text
            this.cause = cause
            payload = mapOf("event" to event.number, "eventName" to event.name) + fields
        }
    }
}
