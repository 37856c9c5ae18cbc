package dev.kumquatknot.operations.questionnaire

import dev.kumquatknot.operations.document.ObjectReader
import kotlinx.serialization.json.JsonPrimitive

/** A [value] and the reader of its JSON object, which reports problems at that position of the document. */
internal class Located<T>(val reader: ObjectReader, val value: T)

/** Reports each of [entries] that has the same [identifier], read from the field [field], as an earlier entry. */
internal fun <T> reportDuplicates(entries: List<Located<T>>, field: String, what: String, identifier: (T) -> String) {
    entries.groupBy { identifier(it.value) }.forEach { (name, duplicates) ->
        val first = duplicates.first().reader
        duplicates.drop(1).forEach { duplicate ->
            val fault = "the $what is already used at ${first.file} ${first.path}"
            duplicate.reader.report(field, JsonPrimitive(name), fault, "choose another or remove one of the two")
        }
    }
}
