package dev.kumquatknot.operations.explain

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.contentOrNull
import java.time.DateTimeException
import java.time.Instant

/**
 * One structured event in the log of a node.
 *
 * @property source name of the log that holds the line; with one log for each VM, this identifies the VM.
 * @property fields the fields of the event as text, without the metadata of the logger, in the order of the line.
 */
public data class LogLine(
    val source: String,
    val at: Instant,
    val event: String,
    val fields: Map<String, String>,
) {
    /** Id of the request that the event concerns; null if it concerns none. */
    val request: String? get() = fields["request"]

    /** Database group that the event concerns; null if it concerns none. */
    val group: String? get() = fields["group"]

    public companion object {
        private val metadataFields =
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
         * Parses one line of [source]. Text before the JSON object, such as the prefix of a log collector, is skipped.
         * Returns null if the line is no event, such as a message of a library or a truncated line.
         */
        public fun parse(source: String, line: String): LogLine? {
            val start = line.indexOf('{')
            if (start < 0) return null
            val json = try {
                Json.parseToJsonElement(line.substring(start)) as? JsonObject
            } catch (_: SerializationException) {
                null
            }
            val event = json?.stringField("eventName") ?: return null
            val at = json.stringField("@timestamp")?.let(::parseInstant) ?: return null
            val fields = json.keys.filter { it !in metadataFields }.mapNotNull { name ->
                json.stringField(name)?.let { name to it }
            }
            return LogLine(source, at, event, fields.toMap())
        }

        private fun parseInstant(text: String): Instant? = try {
            Instant.parse(text)
        } catch (_: DateTimeException) {
            null
        }

        private fun JsonObject.stringField(name: String) = (this[name] as? JsonPrimitive)?.contentOrNull
    }
}
