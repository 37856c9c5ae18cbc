package dev.kumquatknot.proxy.event

import io.github.oshai.kotlinlogging.KLogger
import io.github.oshai.kotlinlogging.KotlinLogging

/**
 * Writes numbered events as structured log lines: the field `event` holds the number, `eventName` the name, and the
 * variable parts are fields of their own. `logback.xml` turns a line into one JSON object on the standard output;
 * the level and the destination are set there.
 */
public class EventLog(private val logger: KLogger = KotlinLogging.logger("dev.kumquatknot.events")) {
    /** Logs [event] with its variable parts [fields] and the [cause], where there is one. */
    public fun log(event: Event, vararg fields: Pair<String, Any?>, cause: Throwable? = null) {
        logger.at(event.level) {
            message = event.text
            this.cause = cause
            payload = mapOf("event" to event.number, "eventName" to event.name) + fields
        }
    }
}
