package dev.kumquatknot.client

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonPrimitive

/** One SQL statement with `?` placeholders and their [parameters] in order. */
@Serializable
public data class Statement(val text: String, val parameters: List<JsonPrimitive> = emptyList())

/** Returns the statement [text]; its parameters are null, strings, booleans, numbers or [JsonPrimitive]s. */
public fun statement(text: String, vararg parameters: Any?): Statement = Statement(text, parameters.map(::toScalar))

/**
 * Result of one statement: rows for a query, [updatedRows] for a change. A cell is a JSON scalar that is read by its
 * `long`, `double`, `boolean` or `content`; 64-bit integers are exact.
 */
@Serializable
public data class StatementResult(
    val columns: List<String>,
    val rows: List<List<JsonPrimitive>>,
    val updatedRows: Long,
)

/**
 * Answer to completed work.
 *
 * @property servedBy the member that ran the work; null if none was involved.
 * @property role role of that member, `primary` or `replica`.
 * @property repeated whether this repeats the stored answer to an earlier request with the same idempotency key.
 */
@Serializable
public data class Answer(
    val results: List<StatementResult>,
    val servedBy: String? = null,
    val role: String? = null,
    val repeated: Boolean = false,
    internal val transaction: String? = null,
)

@Serializable
internal data class StatementsBody(val statements: List<Statement>)

private fun toScalar(value: Any?): JsonPrimitive =
    when (value) {
        null -> JsonNull
        is JsonPrimitive -> value
        is String -> JsonPrimitive(value)
        is Boolean -> JsonPrimitive(value)
        is Number -> JsonPrimitive(value)
        else -> throw IllegalArgumentException("a parameter of ${value::class.simpleName} has no JSON scalar")
    }
