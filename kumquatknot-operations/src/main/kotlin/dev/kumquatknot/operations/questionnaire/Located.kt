package dev.kumquatknot.operations.questionnaire

import dev.kumquatknot.operations.document.ObjectReader
import kotlinx.serialization.json.JsonPrimitive

/** A [value] and the reader of the object that it came from, for messages. */
internal class Located<T>(val reader: ObjectReader, val value: T)

/** Reports each of [entries] whose [identity], written in the field [field], an earlier one has. */
internal fun <T> rejectRepeated(entries: List<Located<T>>, field: String, what: String, identity: (T) -> String) {
    entries.groupBy { identity(it.value) }.forEach { (name, same) ->
        val first = same.first().reader
        same.drop(1).forEach { repeated ->
            val fault = "the $what is already used at ${first.file} ${first.path}"
            repeated.reader.report(field, JsonPrimitive(name), fault, "choose another or remove one of the two")
        }
    }
}
