package dev.kumquatknot.operations.document

import arrow.core.Either
import arrow.core.getOrElse
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject

/** What is wrong with a value, and what to write instead. */
internal data class ValueFault(val fault: String, val remedy: String)

/** Turns a JSON value into a typed one. */
internal typealias ValueParser<T> = (JsonElement) -> Either<ValueFault, T>

/** Collects the problems of several documents. */
internal class ProblemCollector {
    private val collected = mutableListOf<Problem>()

    val problems: List<Problem> get() = collected.toList()

    fun add(problem: Problem) {
        collected += problem
    }
}

/**
 * Reads the fields of one JSON object and collects a [Problem] for each field that is missing, wrong or unknown. A
 * read returns null after it has collected a problem.
 */
internal class ObjectReader(
    val file: String,
    val path: String,
    private val json: JsonObject,
    private val collector: ProblemCollector,
) {
    private val known = mutableSetOf<String>()

    /** Reads a field that must be there; [example] goes into the remedy where it is not. */
    fun <T : Any> required(name: String, example: String, parse: ValueParser<T>): T? {
        val value = find(name)
        if (value == null) {
            report(name, null, "the field is missing", "add \"$name\": $example")
            return null
        }
        return parsed(name, value, parse)
    }

    /** Reads a field that may be left out, in which case it has the value [default]. */
    fun <T> optional(name: String, default: T, parse: ValueParser<T & Any>): T? {
        val value = find(name) ?: return default
        return parsed(name, value, parse)
    }

    /** Reads a list of objects that must be there and hold at least one. */
    fun objects(name: String, example: String): List<ObjectReader> =
        elements(name, example).mapNotNull { (index, element) ->
            val field = "$name[$index]"
            if (element !is JsonObject) {
                report(field, element, "the entry is not an object", "write an object, from { to }")
            }
            (element as? JsonObject)?.let { ObjectReader(file, "$path.$field", it, collector) }
        }

    /** Reads a list of values that must be there and hold at least one. */
    fun <T : Any> values(name: String, example: String, parse: ValueParser<T>): List<T> =
        elements(name, example).mapNotNull { (index, element) -> parsed("$name[$index]", element, parse) }

    /** Reads a list of values that may be left out, in which case it is empty. */
    fun <T : Any> optionalValues(name: String, example: String, parse: ValueParser<T>): List<T> =
        if (find(name) == null) emptyList() else values(name, example, parse)

    /** Reads an object that may be left out. */
    fun child(name: String): ObjectReader? {
        val value = find(name) ?: return null
        if (value !is JsonObject) {
            report(name, value, "the field is not an object", "write an object, from { to }")
            return null
        }
        return ObjectReader(file, "$path.$name", value, collector)
    }

    /** Reports each field that no read has asked for. Called after the last read. */
    fun rejectUnknown() {
        json.keys.filter { it !in known }.forEach { name ->
            val closest = known.minByOrNull {
                distance(it, name)
            }?.takeIf { distance(it, name) <= MAXIMUM_TYPING_ERRORS }
            val remedy =
                closest?.let { "write \"$it\"" } ?: "remove it; known fields are ${known.sorted().joinToString()}"
            report(name, json[name], "the field is unknown", remedy)
        }
    }

    /** Reports a problem of the field [name]. */
    fun report(name: String, value: JsonElement?, fault: String, remedy: String) {
        val text = value?.toString()?.let { if (it.length > MAXIMUM_VALUE) it.take(MAXIMUM_VALUE) + "…" else it }
        collector.add(Problem(file, "$path.$name", text, fault, remedy))
    }

    private fun find(name: String): JsonElement? {
        known += name
        return json[name]?.takeUnless { it is JsonNull }
    }

    private fun <T : Any> parsed(name: String, value: JsonElement, parse: ValueParser<T>): T? =
        parse(value).getOrElse { fault ->
            report(name, value, fault.fault, fault.remedy)
            null
        }

    private fun elements(name: String, example: String): List<IndexedValue<JsonElement>> {
        val value = find(name)
        val array = value as? JsonArray
        when {
            value == null -> report(name, null, "the field is missing", "add \"$name\": $example")
            array == null -> report(name, value, "the field is not a list", "write \"$name\": $example")
            array.isEmpty() -> report(name, value, "the list is empty", "write \"$name\": $example")
        }
        return array.orEmpty().withIndex().toList()
    }

    private companion object {
        const val MAXIMUM_TYPING_ERRORS = 2
        const val MAXIMUM_VALUE = 60

        /** Levenshtein distance of two names, ignoring case. */
        fun distance(first: String, second: String): Int {
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
