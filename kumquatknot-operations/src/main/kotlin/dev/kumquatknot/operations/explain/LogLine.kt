package dev.kumquatknot.operations.explain

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.contentOrNull
import java.time.DateTimeException
import java.time.Instant

/**
 * One event of a node's log.
 *
 * @property source name of the log that it comes from; with one log a VM, the VM.
 * @property fields what the event says beyond its name, as text, in the order of the line.
 */
public data class LogLine(
    val source: String,
    val at: Instant,
    val event: String,
    val fields: Map<String, String>,
) {
    /** Id of the request that the event is about; null where it is about none. */
    val request: String? get() = fields["request"]

    /** The database group that the event is about; null where it is about none. */
    val group: String? get() = fields["group"]

    public companion object {
        private val ownFields =
            setOf(
                "@timestamp",
                "@version",
                "message",
                "logger_name",
                "thread_name",
                "level",
                "level_value",
                "event",
                "eventName",
            )

        /**
         * Parses one line of [source]. Whatever collected the log may have put text before the JSON object. Returns
         * null where the line is no event, such as a message of a library or a line that was cut.
         */
        public fun parse(source: String, line: String): LogLine? {
            val start = line.indexOf('{')
            if (start < 0) return null
            val json = try {
                Json.parseToJsonElement(line.substring(start)) as? JsonObject
            } catch (_: SerializationException) {
                null
            }
            val event = json?.text("eventName") ?: return null
            val at = json.text("@timestamp")?.let(::instant) ?: return null
            val fields = json.keys.filter { it !in ownFields }.mapNotNull { name ->
                json.text(name)?.let { name to it }
            }
            return LogLine(source, at, event, fields.toMap())
        }

        private fun instant(text: String): Instant? = try {
            Instant.parse(text)
        } catch (_: DateTimeException) {
            null
        }

        private fun JsonObject.text(name: String) = (this[name] as? JsonPrimitive)?.contentOrNull
    }
}
