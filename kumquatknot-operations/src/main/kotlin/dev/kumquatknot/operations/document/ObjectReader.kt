package dev.kumquatknot.operations.document

import arrow.core.Either
import arrow.core.getOrElse
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject

/** Result of a failed parse: what is wrong with a value, and what to write instead. */
internal data class ValueFault(val fault: String, val remedy: String)

/** Parses and validates a JSON value. */
internal typealias ValueParser<T> = (JsonElement) -> Either<ValueFault, T>

/** Collects the problems of several documents, so that all of them are reported together. */
internal class ProblemCollector {
    private val collected = mutableListOf<Problem>()

    val problems: List<Problem> get() = collected.toList()

    fun add(problem: Problem) {
        collected += problem
    }
}

/**
 * Reads the fields of one JSON object and collects a [Problem] for each field that is missing, invalid or unknown. A
 * read of a value returns null after it has collected a problem; a read of a list leaves invalid elements out.
 */
internal class ObjectReader(
    val file: String,
    val path: String,
    private val json: JsonObject,
    private val collector: ProblemCollector,
) {
    private val knownFields = mutableSetOf<String>()

    /** Reads a mandatory field; [example] goes into the remedy if it is missing. */
    fun <T : Any> required(name: String, example: String, parse: ValueParser<T>): T? {
        val value = findField(name)
        if (value == null) {
            report(name, null, "the field is missing", "add \"$name\": $example")
            return null
        }
        return parseField(name, value, parse)
    }

    /** Reads an optional field; returns [default] if it is missing. */
    fun <T> optional(name: String, default: T, parse: ValueParser<T & Any>): T? {
        val value = findField(name) ?: return default
        return parseField(name, value, parse)
    }

    /** Reads a mandatory list of at least one object. */
    fun objects(name: String, example: String): List<ObjectReader> =
        elements(name, example).mapNotNull { (index, element) ->
            val field = "$name[$index]"
            if (element !is JsonObject) {
                report(field, element, "the entry is not an object", "write an object, from { to }")
            }
            (element as? JsonObject)?.let { ObjectReader(file, "$path.$field", it, collector) }
        }

    /** Reads a mandatory list of at least one value. */
    fun <T : Any> values(name: String, example: String, parse: ValueParser<T>): List<T> =
        elements(name, example).mapNotNull { (index, element) -> parseField("$name[$index]", element, parse) }

    /** Reads an optional list of values; returns an empty list if it is missing. */
    fun <T : Any> optionalValues(name: String, example: String, parse: ValueParser<T>): List<T> =
        if (findField(name) == null) emptyList() else values(name, example, parse)

    /** Reads an optional nested object. */
    fun child(name: String): ObjectReader? {
        val value = findField(name) ?: return null
        if (value !is JsonObject) {
            report(name, value, "the field is not an object", "write an object, from { to }")
            return null
        }
        return ObjectReader(file, "$path.$name", value, collector)
    }

    /** Reports each field that no earlier call has read. Must be called after the last read. */
    fun reportUnknownFields() {
        json.keys.filter { it !in knownFields }.forEach { name ->
            val closest = knownFields.minByOrNull {
                editDistance(it, name)
            }?.takeIf { editDistance(it, name) <= MAXIMUM_EDIT_DISTANCE }
            val remedy =
                closest?.let { "write \"$it\"" } ?: "remove it; known fields are ${knownFields.sorted().joinToString()}"
            report(name, json[name], "the field is unknown", remedy)
        }
    }

    /** Reports a problem of the field [name]. */
    fun report(name: String, value: JsonElement?, fault: String, remedy: String) {
        val text = value?.toString()?.let {
            if (it.length > MAXIMUM_VALUE_LENGTH) it.take(MAXIMUM_VALUE_LENGTH) + "…" else it
        }
        collector.add(Problem(file, "$path.$name", text, fault, remedy))
    }

    private fun findField(name: String): JsonElement? {
        knownFields += name
        return json[name]?.takeUnless { it is JsonNull }
    }

    private fun <T : Any> parseField(name: String, value: JsonElement, parse: ValueParser<T>): T? =
        parse(value).getOrElse { fault ->
            report(name, value, fault.fault, fault.remedy)
            null
        }

    private fun elements(name: String, example: String): List<IndexedValue<JsonElement>> {
        val value = findField(name)
        val array = value as? JsonArray
        when {
            value == null -> report(name, null, "the field is missing", "add \"$name\": $example")
            array == null -> report(name, value, "the field is not a list", "write \"$name\": $example")
            array.isEmpty() -> report(name, value, "the list is empty", "write \"$name\": $example")
        }
        return array.orEmpty().withIndex().toList()
    }

    private companion object {
        const val MAXIMUM_EDIT_DISTANCE = 2
        const val MAXIMUM_VALUE_LENGTH = 60

        /** Returns the Levenshtein distance of two names, ignoring case. */
        fun editDistance(first: String, second: String): Int {
            var previous = List(second.length + 1) { it }
            first.forEachIndexed { row, character ->
                val current = mutableListOf(row + 1)
                second.forEachIndexed { column, other ->
                    val substitution = previous[column] + if (character.equals(other, ignoreCase = true)) 0 else 1
                    current += minOf(substitution, previous[column + 1] + 1, current[column] + 1)
                }
                previous = current
            }
            return previous.last()
        }
    }
}
