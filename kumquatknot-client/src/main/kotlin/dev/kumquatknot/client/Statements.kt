package dev.kumquatknot.client

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonPrimitive

/** One SQL statement with `?` placeholders and their [parameters] in order. */
@Serializable
public data class Statement(val text: String, val parameters: List<JsonPrimitive> = emptyList())

/** Returns the statement [text] with parameters that are null, strings, truth values or numbers. */
public fun statement(text: String, vararg parameters: Any?): Statement = Statement(text, parameters.map(::toScalar))

/**
 * Result of one statement: rows for a query, [updatedRows] for a change. A cell is a JSON scalar; its `long`, `double`,
 * `boolean` and `content` read it, and 64-bit integers are exact.
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
 * @property servedBy the member that ran it, where one was asked.
 * @property role `primary` or `replica`.
 * @property repeated whether this is the first answer to the same idempotency key, given again.
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
